#include "include/config/config_store.h"
#include "include/config/config_sync.h"
#include "tests/config/fake_platform.h"
#include "tests/config/sample_files.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <array>
#include <memory>
#include <set>

using namespace wagtailhatch;
using namespace wagtailhatch::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::array<const char*, 2> data_centres{"north", "south"};

/// Nodes of two data centres on a network that loses, delays, reorders and duplicates messages.
class fleet {
public:
    struct node {
        config_peer self;
        random_source random{0};
        std::unique_ptr<fake_platform> platform;
        std::unique_ptr<config_sync> sync;
        std::uint64_t published = 0;
        std::uint64_t generation = 0;
        bool reaches_platform = true;
        bool reads_outdated = false;
        bool went_back = false;
        bool stale = false;
    };

    fleet(std::size_t count, std::uint64_t seed)
        : random_{seed}
        , nodes_(count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            auto& n = nodes_[i];
            n.self = {"n" + std::to_string(i), data_centres.at(i % 2), "10.0.0." + std::to_string(i) + ":1"};
            n.platform = std::make_unique<fake_platform>(events, content);
            n.platform->next_fault = [&n](bool) {
                return !n.reaches_platform ? fault::unavailable
                                           : (n.reads_outdated ? fault::outdated : fault::none);
            };
        }
        for (std::size_t i = 0; i < count; ++i) {
            restart(i);
        }
        tick();
    }

    /// Starts a node anew under its old name and address, with nothing remembered.
    void restart(std::size_t i)
    {
        auto& n = nodes_[i];
        n.random = random_source{random_.engine()()};
        ++n.generation;
        n.published = 0;
        config_sync_options options;
        options.self = n.self;
        auto send = [this, i](const peer_address& to, const std::string& payload, duration timeout,
                              const std::function<void(peer_reply)>& done) {
            deliver(i, to, payload, timeout, done);
        };
        n.sync = std::make_unique<config_sync>(options, events.time(), n.random, send, *n.platform,
                                               *n.platform, [&n](const auto& config) {
                                                   n.went_back |= config->version < n.published;
                                                   n.published = config->version;
                                               });
        n.sync->on_stale([&n](bool stale) { n.stale = stale; });
        std::vector<config_peer> peers;
        for (const auto& other : nodes_) {
            if (other.self.id != n.self.id) {
                peers.push_back(other.self);
            }
        }
        n.sync->set_peers(std::move(peers));
        n.sync->start();
    }

    void cut(std::size_t a, std::size_t b) { cuts_.insert({a, b}); }
    void heal()
    {
        cuts_.clear();
        loss = 0;
        for (auto& n : nodes_) {
            n.reaches_platform = true;
            n.reads_outdated = false;
        }
    }

    /// The next version, accepted on a platform that answers.
    void accept()
    {
        fake_platform platform{events, content};
        config_store store{platform, platform};
        const auto text = with_made_on(base_with_tokens(static_cast<unsigned>(accepted % 10)), accepted);
        accept_status status = accept_status::unknown;
        store.accept({{{"base", "base.yaml", text}}, {}, "ann", "id" + std::to_string(accepted)},
                     [&](const accept_outcome& o) { status = o.status; });
        events.run_for(50ms);
        REQUIRE(status == accept_status::accepted);
        ++accepted;
    }

    std::vector<node>& nodes() { return nodes_; }

    event_queue events;
    platform_content content;
    std::uint64_t accepted = 0;
    double loss = 0;

private:
    void tick()
    {
        for (auto& n : nodes_) {
            n.sync->tick();
        }
        events.after(100ms, [this] { tick(); });
    }

    bool lost(std::size_t from, std::size_t to)
    {
        return cuts_.count({from, to}) != 0 || random_.unit() < loss;
    }

    void deliver(std::size_t from, const peer_address& to, const std::string& payload, duration timeout,
                 const std::function<void(peer_reply)>& done)
    {
        const auto found =
            std::find_if(nodes_.begin(), nodes_.end(), [&](const node& n) { return n.self.address == to; });
        const auto target = static_cast<std::size_t>(found - nodes_.begin());
        const auto sender = nodes_[from].generation;
        auto completed = std::make_shared<bool>(false);
        const auto complete = [=](peer_reply reply) {
            if (!std::exchange(*completed, true)) {
                done(std::move(reply));
            }
        };
        events.after(timeout, [complete] { complete({}); });
        const int copies = random_.unit() < 0.1 ? 2 : 1;
        for (int i = 0; i < copies && !lost(from, target); ++i) {
            events.after(1ms + 1ms * random_.below(300), [this, from, target, sender, payload, complete] {
                const auto answer = nodes_[target].sync->on_request(payload);
                if (!answer || lost(target, from) || nodes_[from].generation != sender) {
                    return;
                }
                events.after(1ms + 1ms * random_.below(300), [answer, complete] {
                    complete({true, *answer, {}});
                });
            });
        }
    }

    random_source random_;
    std::vector<node> nodes_;
    std::set<std::pair<std::size_t, std::size_t>> cuts_;
};

bool all_at(fleet& f, std::uint64_t version)
{
    return std::all_of(f.nodes().begin(), f.nodes().end(),
                       [&](const fleet::node& n) { return n.published == version; });
}

bool any_went_back(fleet& f)
{
    return std::any_of(f.nodes().begin(), f.nodes().end(), [](const fleet::node& n) { return n.went_back; });
}

} // namespace

// Guards against a configuration that reverts, and against nodes that never learn of an accepted one.
TEST_CASE("connected nodes reach the highest accepted version and never go back")
{
    rc::prop("random faults", [] {
        fleet f{*rc::gen::inRange<std::size_t>(2, 9), *rc::gen::arbitrary<std::uint64_t>()};
        const auto any_node = rc::gen::inRange<std::size_t>(0, f.nodes().size());
        const auto steps = *rc::gen::inRange(1, 25);
        for (int i = 0; i < steps; ++i) {
            switch (*rc::gen::inRange(0, 8)) {
            case 0:
                f.accept();
                break;
            case 1:
                f.cut(*any_node, *any_node);
                break;
            case 2:
                f.nodes()[*any_node].reaches_platform = false;
                break;
            case 3:
                f.restart(*any_node);
                break;
            case 4:
                f.loss = 0.3;
                break;
            case 5:
                f.heal();
                break;
            case 6:
                f.nodes()[*any_node].reads_outdated = true;
                break;
            default:
                break;
            }
            f.events.run_for(std::chrono::milliseconds{*rc::gen::inRange(1, 3000)});
            RC_ASSERT(!any_went_back(f));
        }
        f.heal();
        f.accept();
        f.events.run_for(15s);
        RC_ASSERT(all_at(f, f.accepted));
    });
}

// Guards against nodes without the platform that learn nothing from others.
TEST_CASE("one node that reaches the platform is enough")
{
    fleet f{9, 1};
    for (std::size_t i = 1; i < f.nodes().size(); ++i) {
        f.nodes()[i].reaches_platform = false;
    }
    f.accept();
    f.events.run_for(15s);
    CHECK(all_at(f, 1));
    f.accept();
    f.events.run_for(15s);
    CHECK(all_at(f, 2));
}

// Guards against a restarted node that serves what a single outdated peer holds.
TEST_CASE("a starting node takes the highest version of its peers and the table")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        fleet f{4, seed};
        f.accept();
        f.events.run_for(15s);
        REQUIRE(all_at(f, 1));
        // Nodes 0 and 1 are cut off while the next version is accepted.
        for (const std::size_t i : {0U, 1U}) {
            f.nodes()[i].reaches_platform = false;
            for (std::size_t j = 0; j < 4; ++j) {
                f.cut(i, j);
                f.cut(j, i);
            }
        }
        f.accept();
        f.events.run_for(10s);
        REQUIRE(f.nodes()[0].published == 1);
        REQUIRE(f.nodes()[2].published == 2);
        f.heal();
        f.nodes()[3].reaches_platform = false;
        f.restart(3);
        std::set<std::uint64_t> seen;
        for (int i = 0; i < 300; ++i) {
            f.events.run_for(10ms);
            seen.insert(f.nodes()[3].published);
        }
        CHECK(seen == std::set<std::uint64_t>{0, 2});
    }
}

// Guards against more load on the platform than two readers a data centre make.
TEST_CASE("only the elected readers poll the platform")
{
    fleet f{16, 1};
    f.accept();
    f.events.run_for(10s);
    const auto before = f.content.reads;
    f.events.run_for(20s);
    // Two data centres with two readers, once a second; one more poll for each may fall into the window.
    CHECK(f.content.reads - before <= std::size_t{4} * 21);
    CHECK(f.content.reads - before >= std::size_t{4} * 15);
}

// Guards against nodes that serve keyed routes for longer than max_staleness without word of the platform.
TEST_CASE("staleness counts from the last contact to the platform through any node")
{
    fleet f{4, 1};
    fake_platform platform{f.events, f.content};
    config_store store{platform, platform};
    auto text = sample_base;
    text.replace(text.find("max_staleness: 0s"), 17, "max_staleness: 8s");
    store.accept({{{"base", "b", text}}, {}, "ann", "x"}, [](const accept_outcome&) {});
    f.events.run_for(15s);
    f.nodes()[0].reaches_platform = false;
    f.nodes()[1].reaches_platform = false;
    f.nodes()[2].reaches_platform = false;
    f.events.run_for(60s);
    for (const auto& n : f.nodes()) {
        CHECK_FALSE(n.stale);
    }
    f.nodes()[3].reaches_platform = false;
    f.events.run_for(20s);
    for (const auto& n : f.nodes()) {
        CHECK(n.stale);
        CHECK(n.published == 1);
    }
    f.heal();
    f.events.run_for(35s);
    for (const auto& n : f.nodes()) {
        CHECK_FALSE(n.stale);
    }
}
