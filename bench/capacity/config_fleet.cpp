#include "bench/capacity/config_fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <stdexcept>

namespace wagtailhatch::bench {
namespace {

using namespace std::chrono_literals;

/// IP and TCP headers with timestamps, the TLS record, the frame's header, and the other side's bare TCP
/// acknowledgement.
constexpr std::size_t envelope = 52 + 22 + 24 + 52;

} // namespace

std::string capacity_base(std::size_t services, std::size_t workspaces, std::size_t data_centres,
                          std::uint64_t revision)
{
    std::string text = "made_on: 0\nslots_per_data_centre: 64\ndata_centres:\n";
    for (std::size_t i = 0; i < data_centres; ++i) {
        text += fmt::format("  dc-{}: {{weight: 1}}\n", i);
    }
    text += "services:\n";
    for (std::size_t i = 0; i < services; ++i) {
        // Chains of 20 services.
        const bool calls = i % 20 != 19 && i + 1 < services;
        text += calls ? fmt::format("  service-{}: {{calls: [service-{}], slots: 100}}\n", i, i + 1)
                      : fmt::format("  service-{}: {{slots: 100}}\n", i);
    }
    text += "workspaces:\n";
    for (std::size_t i = 0; i < workspaces; ++i) {
        const auto rate = i == 0 ? 1000 + revision % 1000 : 1000;
        text += fmt::format(
            "  workspace-{}:\n    rate: {}\n    burst: 5000\n    keys:\n      - sha256: {:064x}\n", i, rate,
            i + 1);
    }
    text += "routes:\n";
    for (std::size_t i = 0; i < services; i += 20) {
        text += fmt::format("  route-{}: {{path: /api/{}, service: service-{}}}\n", i, i, i);
    }
    return text;
}

config_fleet::config_fleet(std::size_t nodes, std::size_t data_centres, std::uint64_t seed)
    : random_{seed}
    , data_centres_{data_centres}
    , nodes_(nodes)
{
    accept();
    for (std::size_t i = 0; i < nodes; ++i) {
        nodes_[i].self = {fmt::format("node-{}", i), fmt::format("dc-{}", i % data_centres),
                          fmt::format("10.0.{}.{}:4000", i / 250, i % 250)};
        by_address_[nodes_[i].self.address] = i;
    }
    for (auto& n : nodes_) {
        n.random = random_source{random_.engine()()};
        n.platform = std::make_unique<testing::fake_platform>(events_, content_);
        config_sync_options options;
        options.self = n.self;
        const auto send = [this](const peer_address& to, std::string payload, duration timeout,
                                 std::function<void(peer_reply)> done) {
            deliver(to, std::move(payload), timeout, std::move(done));
        };
        n.sync =
            std::make_unique<config_sync>(options, events_.time(), n.random, send, *n.platform, *n.platform,
                                          [&n](const auto& c) { n.published = c->version; });
        std::vector<config_peer> peers;
        for (const auto& other : nodes_) {
            if (other.self.id != n.self.id) {
                peers.push_back(other.self);
            }
        }
        n.sync->set_peers(std::move(peers));
        n.sync->start();
    }
    tick();
    run_for(20s);
}

void config_fleet::accept()
{
    testing::fake_platform platform{events_, content_};
    platform.next_fault = [this](bool is_write) {
        accept_writes_ += is_write ? 1 : 0;
        return testing::fault::none;
    };
    const auto reads = content_.reads;
    const auto objects = content_.objects.size();
    config_store store{platform, platform};
    const auto text = with_made_on(capacity_base(4, 8, data_centres_, accepted_), accepted_);
    accept_status status = accept_status::unknown;
    store.accept({{{"base", "base.yaml", text}}, {}, "capacity", fmt::format("id{}", accepted_)},
                 [&](const accept_outcome& o) { status = o.status; });
    events_.run_for(40ms);
    if (status != accept_status::accepted) {
        throw std::runtime_error("the benchmark's configuration was not accepted");
    }
    accept_writes_ += content_.objects.size() - objects;
    // Only nodes' reads are counted; another node's read in these 40 ms is lost to the count.
    content_.reads = std::min(content_.reads, reads);
    ++accepted_;
}

double config_fleet::seconds_to_reach_all()
{
    const auto start = events_.time().now();
    const auto limit = start + 60s;
    while (events_.time().now() < limit && !std::all_of(nodes_.begin(), nodes_.end(), [&](const node& n) {
               return n.published == accepted_;
           })) {
        run_for(50ms);
    }
    return std::chrono::duration<double>(events_.time().now() - start).count();
}

void config_fleet::reset_counts()
{
    bytes_ = 0;
    accept_writes_ = 0;
    content_.reads = 0;
}

void config_fleet::tick()
{
    for (auto& n : nodes_) {
        n.sync->tick();
    }
    events_.after(100ms, [this] { tick(); });
}

// Both ends count a message, so one message is twice its size over all nodes.
void config_fleet::count(std::size_t payload)
{
    bytes_ += 2 * (payload + envelope);
}

void config_fleet::deliver(const peer_address& to, std::string payload, duration timeout,
                           std::function<void(peer_reply)> done)
{
    count(payload.size());
    const auto found = by_address_.find(to);
    events_.after(
        found == by_address_.end() ? timeout : 1ms + 1ms * random_.below(80),
        [this, found, payload = std::move(payload), done = std::move(done)] {
            const auto answer =
                found == by_address_.end() ? std::nullopt : nodes_[found->second].sync->on_request(payload);
            if (!answer) {
                done({});
                return;
            }
            count(answer->size());
            events_.after(1ms + 1ms * random_.below(80), [answer, done] { done({true, *answer, {}}); });
        });
}

} // namespace wagtailhatch::bench
