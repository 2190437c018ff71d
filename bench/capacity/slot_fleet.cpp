#include "bench/capacity/slot_fleet.h"

#include <fmt/format.h>

#include <algorithm>

namespace wagtailhatch::bench {
namespace {

using namespace std::chrono_literals;

/// As in config_fleet.cpp: headers, TLS record, frame header and a bare acknowledgement.
constexpr std::size_t envelope = 52 + 22 + 24 + 52;
const std::string data_centre = "dc-0";

} // namespace

slot_fleet::node::node(slot_fleet& f, node_ref s, std::uint64_t seed)
    : fleet{f}
    , self{std::move(s)}
    , random{seed}
    , table{f.events_, f.content_}
{
    table.next_fault = [&f](bool is_write) {
        f.table_writes_ += is_write ? 1 : 0;
        return testing::fault::none;
    };
}

void slot_fleet::node::request(const peer_address& to, channel c, std::string payload, duration timeout,
                               std::function<void(peer_reply)> done)
{
    auto& f = fleet;
    f.count(c, payload.size());
    const auto found = std::find_if(f.nodes_.begin(), f.nodes_.end(),
                                    [&](const auto& n) { return n && n->alive && n->self.address == to; });
    if (found == f.nodes_.end()) {
        f.events_.after(timeout, [done] { done({}); });
        return;
    }
    f.events_.after(1ms, [&f, target = *found, c, payload = std::move(payload), done] {
        if (!target->alive) {
            done({});
            return;
        }
        target->service->handle(c, payload, [&f, c, done](const std::string& answer) {
            f.count(c, answer.size());
            f.events_.after(1ms, [answer, done] { done({true, answer, {}}); });
        });
    });
}

slot_fleet::slot_fleet(std::size_t nodes, std::uint32_t slots, std::size_t workspaces, std::uint64_t seed)
    : random_{seed}
    , slots_{slots}
    , config_{std::make_shared<configuration>()}
    , nodes_(nodes)
{
    config_->version = 1;
    config_->slots_per_data_centre = slots;
    config_->data_centres[data_centre] = {data_centre, 1, false};
    for (std::size_t i = 0; i < workspaces; ++i) {
        workspaces_.push_back(fmt::format("workspace-{}", i));
        config_->workspaces[workspaces_.back()] = {workspaces_.back(), 10'000, 10'000, data_centre, {}};
    }
    for (std::size_t i = 0; i < nodes; ++i) {
        start(i, 1);
    }
    share_members();
    tick();
    events_.run_for(20s);
}

void slot_fleet::start(std::size_t i, std::uint64_t incarnation)
{
    const node_ref self{fmt::format("node-{}", i), incarnation, fmt::format("10.0.0.{}:4000", i)};
    auto n = std::make_shared<node>(*this, self, random_.engine()());
    slot_service_options options;
    options.ownership.data_centre = options.wallet.data_centre = data_centre;
    options.ownership.slots = slots_;
    n->service = std::make_unique<slot_service>(options, self, n->table, *n, events_.time(), n->random);
    n->service->set_runner(
        [](const run_once_order&, steady_time, const std::function<void(run_once_result)>& done) {
            done({outcome::answered, refusal_reason::none, false, std::string(500, 'a')});
        });
    nodes_[i] = n;
    n->service->set_configuration(config_);
}

void slot_fleet::share_members()
{
    for (const auto& n : nodes_) {
        std::vector<node_ref> others;
        for (const auto& other : nodes_) {
            if (other != n && other->alive) {
                others.push_back(other->self);
            }
        }
        if (n->alive) {
            n->service->set_members(data_centre, others);
        }
    }
}

void slot_fleet::tick()
{
    for (const auto& n : nodes_) {
        if (n->alive) {
            n->service->tick();
        }
    }
    events_.after(50ms, [this] { tick(); });
}

void slot_fleet::run(double seconds, double takes_a_second, double orders_a_second)
{
    double takes = 0;
    double orders = 0;
    for (int step = 0; step < static_cast<int>(seconds * 100); ++step) {
        for (takes += takes_a_second / 100; takes >= 1; takes -= 1) {
            const auto& n = nodes_[random_.below(nodes_.size())];
            n->service->take_token(workspaces_[random_.below(workspaces_.size())],
                                   [this](const take_result& r) { granted_ += r.granted ? 1 : 0; });
        }
        for (orders += orders_a_second / 100; orders >= 1; orders -= 1) {
            const auto& n = nodes_[random_.below(nodes_.size())];
            run_once_order order{workspaces_[random_.below(workspaces_.size())],
                                 fmt::format("order-key-{:026}", next_order_++), true, std::string(500, 'r')};
            n->service->run_once(
                std::move(order), events_.time().now() + 5s,
                [this](const run_once_result& r) { answered_ += r.what == outcome::answered ? 1 : 0; });
        }
        events_.run_for(10ms);
    }
}

void slot_fleet::restart(std::size_t i)
{
    nodes_[i]->alive = false;
    share_members();
    events_.run_for(5s);
    const auto old = nodes_[i];
    ended_.push_back(old);
    start(i, old->self.incarnation + 1);
    for (const auto& n : nodes_) {
        n->service->report_ended(old->self.id, old->self.incarnation);
    }
    share_members();
    events_.run_for(15s);
}

void slot_fleet::reset_counts()
{
    all_ = {};
    slot_ = {};
    granted_ = answered_ = table_writes_ = 0;
}

void slot_fleet::count(channel c, std::size_t payload)
{
    const auto add = [&](slot_counts& counts) {
        ++counts.messages;
        counts.bytes += payload + envelope;
    };
    add(all_);
    if (c == channel::slot) {
        add(slot_);
    }
}

} // namespace wagtailhatch::bench
