#include "tests/quota/rate_fleet.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace wagtailhatch;
using namespace wagtailhatch::test;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

using fleet = rate_fleet;

/// A node that is alone and therefore allocates every rate itself.
struct single_node {
    explicit single_node(const configuration& config)
    {
        const std::vector<peer_address> self{"n0"};
        limiter.set_nodes(self, 1, now);
        limiter.set_configuration(config, now);
    }

    /// Lets time pass while the node runs.
    void run(duration length)
    {
        for (const auto end = now + length; now < end;) {
            now += 250ms;
            limiter.poll(now);
        }
    }

    bool admit()
    {
        bool admitted = false;
        limiter.admit("w", {}, now, [&](const rate_decision& d) { admitted = d.admitted; });
        return admitted;
    }

    steady_time now{1h};
    rate_limiter limiter{{}, "n0", [](const peer_address&, const rate_request&) { return false; }};
};

configuration one_workspace(double rate, double burst)
{
    configuration config;
    config.workspaces["w"] = {"w", rate, burst, {}, {}};
    return config;
}

} // namespace

// Guards against refusals within the rate under sparse, uneven demand, where small shares run out by chance:
// a rate divided among the nodes refused a quarter of the requests that were within their rate.
TEST_CASE("demand within the rate is never refused, whatever its distribution over the nodes")
{
    for (const double rate : {20.0, 100.0, 300.0}) {
        fleet f{16, rate};
        f.run(3s, [&](std::size_t) { return rate * 0.6 / 16; });
        f.refused = 0;
        f.run(20s, [&](std::size_t i) { return i < 2 ? rate * 0.3 : rate * 0.3 / 14; });
        INFO(rate);
        CHECK(f.refused == 0);
    }
}

// Guards against counting what a peer admitted since its last report as one spike, with steady demand at
// several nodes far below a high rate with a small burst: a full bucket had dropped the tokens that arrived
// meanwhile, and 1 of 400 requests of a steady load was refused.
TEST_CASE("steady demand is not refused because its reports arrive in batches")
{
    fleet f{4, 2000, 20};
    f.run(3s, [](std::size_t i) { return i < 3 ? 67 : 0; });
    f.refused = 0;
    for (int round = 0; round < 400; ++round) {
        f.run(110ms, [](std::size_t i) { return i < 3 ? 67 : 0; });
        f.spike(3, 8);
    }
    CHECK(f.refused == 0);
}

// Steady demand below the rate, and repeatedly the full burst at every node at once. Guards against
// compensating for batched reports in a way that admits spikes as well.
TEST_CASE("spikes with a small burst stay within the bound")
{
    for (const double rate : {40.0, 400.0}) {
        fleet f{8, rate, 20};
        f.run(5s, [&](std::size_t) { return rate * 0.5 / 8; });
        for (int round = 0; round < 10; ++round) {
            for (std::size_t i = 0; i < 8; ++i) {
                f.spike(i, 20);
            }
            f.run(700ms, [&](std::size_t) { return rate * 0.5 / 8; });
        }
        INFO("rate " << rate << " most " << f.max_in_window << " bound " << f.bound());
        CHECK(f.max_in_window <= f.bound());
    }
}

// One workspace suddenly sends many times its rate, for a long time. Guards against the sum over all nodes
// exceeding rate and burst while reports are in flight.
TEST_CASE("a flood stays within rate, burst and slack in every window")
{
    for (const double rate : {20.0, 100.0, 300.0}) {
        fleet f{16, rate};
        f.run(5s, [&](std::size_t) { return rate * 0.6 / 16; });
        f.run(10s, [&](std::size_t) { return rate * 4.7 / 16; });
        INFO("rate " << rate << " most " << f.max_in_window << " bound " << f.bound());
        CHECK(f.max_in_window <= f.bound());
        const double served = static_cast<double>(f.sent - f.refused);
        CHECK(served > rate * (5 * 0.6 + 10) * 0.9);
    }
}

// A flood during a network partition. Guards against each side spending the full burst: two sides exceeded
// the bound by 9%.
TEST_CASE("the sides of a partition divide rate and burst")
{
    const double rate = 106;
    fleet f{13, rate};
    f.run(5s, [&](std::size_t) { return rate * 0.6 / 13; });
    f.linked = [](std::size_t a, std::size_t b) { return (a < 5) == (b < 5); };
    f.run(3s, [&](std::size_t) { return rate * 0.6 / 13; });
    f.run(8s, [&](std::size_t) { return rate * 4 / 13; });
    INFO("most " << f.max_in_window << " bound " << f.bound());
    CHECK(f.max_in_window <= f.bound());
}

// All processes are killed during a flood. Guards against spending the burst again after the restart, which
// exceeded the bound by 10%.
TEST_CASE("restarted nodes do not spend the burst again")
{
    const double rate = 106;
    fleet f{13, rate};
    f.run(5s, [&](std::size_t) { return rate * 0.6 / 13; });
    f.run(4s, [&](std::size_t) { return rate * 4 / 13; });
    for (std::size_t i = 0; i < 13; ++i) {
        f.restart(i);
    }
    f.run(5s, [&](std::size_t) { return rate * 4 / 13; });
    INFO("most " << f.max_in_window << " bound " << f.bound());
    CHECK(f.max_in_window <= f.bound());
}

// Callers send spikes of requests to one node at a time. Guards against refusing a spike within the burst
// because the node's own share of the rate is small: 2 of 400 requests of a low load were refused.
TEST_CASE("a spike within the burst is admitted at one node")
{
    // The part of a burst that is spent freely, minus what the other nodes may be spending.
    const std::map<double, int> spikes{{20.0, 18}, {100.0, 55}};
    for (const auto& [rate, spike] : spikes) {
        fleet f{4, rate};
        f.run(10s, [rate = rate](std::size_t) { return rate * 0.3 / 4; });
        f.refused = 0;
        f.spike(2, spike);
        INFO(rate);
        CHECK(f.refused == 0);
    }
}

// The callers of all nodes send spikes simultaneously and repeatedly, before any report can arrive. Guards
// against the sum of unreported admissions of all nodes exceeding the bound.
TEST_CASE("simultaneous spikes at all nodes stay within the bound")
{
    for (const double rate : {20.0, 100.0, 300.0}) {
        fleet f{16, rate};
        f.run(6s, [&](std::size_t) { return rate * 0.3 / 16; });
        for (int round = 0; round < 8; ++round) {
            for (std::size_t i = 0; i < 16; ++i) {
                f.spike(i, static_cast<int>(rate * 0.3));
            }
            f.run(600ms, [&](std::size_t) { return rate * 0.3 / 16; });
        }
        INFO("rate " << rate << " most " << f.max_in_window << " bound " << f.bound());
        CHECK(f.max_in_window <= f.bound());
    }
}

// Guards against refusing the first request of a workspace at a node because nothing was counted before.
TEST_CASE("a node that received its configuration a second ago admits the first requests")
{
    single_node node{one_workspace(20, 20)};
    node.run(1s);
    for (int i = 0; i < 5; ++i) {
        CHECK(node.admit());
    }
}

// Guards against limiting workspaces that have no limit.
TEST_CASE("a workspace without a rate is not limited")
{
    single_node node{one_workspace(0, 0)};
    for (int i = 0; i < 1000; ++i) {
        CHECK(node.admit());
    }
}

// Guards against charging workspaces for requests that were not executed.
TEST_CASE("the token of a request that was not executed admits another one")
{
    single_node node{one_workspace(10, 10)};
    node.run(5s);
    int admitted = 0;
    while (node.admit()) {
        ++admitted;
    }
    CHECK(admitted >= 10);
    node.limiter.refund("w", node.now);
    CHECK(node.admit());
    CHECK_FALSE(node.admit());
}

// Guards against keeping parts of a rate for nodes that have no requests.
TEST_CASE("nodes without requests leave the whole bucket to a node that has some")
{
    fleet f{8, 2000};
    f.run(4s, [](std::size_t) { return 0; });
    f.spike(3, 500);
    f.run(1s, [](std::size_t i) { return i == 3 ? 1500 : 0; });
    CHECK(f.refused == 0);
}

// Guards against messages between nodes that grow with the fleet instead of with the requests.
TEST_CASE("the number of messages is bounded by the number of requests")
{
    fleet f{200, 100};
    f.run(5s, [](std::size_t) { return 0; });
    CHECK(f.messages == 0);
    f.run(5s, [](std::size_t i) { return 0.15 + 0.3 * static_cast<double>(i) / 200; });
    CHECK(f.messages <= 2 * f.sent);
    CHECK(f.refused == 0);
}

// Floods that begin with the traffic, on a fleet where each node has less than one request a second. Guards
// against an error that each node adds: 1,261 requests of 766 were admitted on 195 nodes.
TEST_CASE("a flood on two hundred nodes stays within the bound and is served at its rate")
{
    for (const double rate : {50.0, 113.0, 400.0}) {
        fleet f{200, rate};
        f.run(8s, [](std::size_t) { return 0; });
        f.run(12s, [&](std::size_t) { return rate * 4.7 / 200; });
        INFO("rate " << rate << " most " << f.max_in_window << " bound " << f.bound());
        CHECK(f.max_in_window <= f.bound());
        CHECK(static_cast<double>(f.sent - f.refused) > rate * 12 * 0.9);
    }
}

// A partition in the middle of a flood. Guards against sides that each admit what the other one spends until
// they notice the partition.
TEST_CASE("a partition during a flood does not add to what is admitted")
{
    const double rate = 41;
    for (std::size_t side = 1; side < 13; ++side) {
        fleet f{13, rate};
        f.run(6s, [&](std::size_t) { return rate * 0.6 / 13; });
        f.run(2200ms, [&](std::size_t) { return rate * 0.6 * 7.5 / 13; });
        f.linked = [side](std::size_t a, std::size_t b) { return (a < side) == (b < side); };
        f.run(5500ms, [&](std::size_t) { return rate * 0.6 * 7.5 / 13; });
        f.linked = [](std::size_t, std::size_t) { return true; };
        f.run(5s, [&](std::size_t) { return rate * 0.6 * 7.5 / 13; });
        INFO("side " << side << " most " << f.max_in_window << " bound " << f.bound());
        CHECK(f.max_in_window <= f.bound());
    }
}

// Cuts of each kind in the middle of a flood: what is sent is lost both ways or one way, links are reset and
// dials get no answer, links are reset and dials are refused. Guards against two allocators of one rate: a
// side that takes a lost allocator for dead while it goes on counting the lost nodes (QUOTA).
TEST_CASE("a cut of any kind during a flood does not add to what is admitted")
{
    const double rate = 141;
    for (const std::string kind : {"silent", "outgoing", "incoming", "reset", "refused"}) {
        for (std::size_t side = 1; side < 13; ++side) {
            fleet f{13, rate, 55};
            const auto flood = [&](std::size_t) { return rate * 0.6 * 7.5 / 13; };
            const auto across = [side](std::size_t a, std::size_t b) { return (a < side) != (b < side); };
            f.run(6s, [&](std::size_t) { return rate * 0.6 / 13; });
            f.run(2200ms, flood);
            if (kind == "reset" || kind == "refused") {
                f.resets = across;
                f.refuses = kind == "refused";
            }
            else {
                f.linked = [&, side](std::size_t a, std::size_t b) {
                    return !across(a, b) || (kind == "outgoing" && b < side) ||
                           (kind == "incoming" && a < side);
                };
            }
            f.run(5500ms, flood);
            f.linked = [](std::size_t, std::size_t) { return true; };
            f.resets = [](std::size_t, std::size_t) { return false; };
            f.run(5s, flood);
            INFO(kind << ", side " << side << ", most " << f.max_in_window << ", bound " << f.bound());
            CHECK(f.max_in_window <= f.bound());
        }
    }
}

// All nodes restart during a flood, and the store that lists them answers late. Guards against nodes that
// each allocate the rate alone until they know of the others (QUOTA).
TEST_CASE("a restart of all nodes beside a slow store does not add to what is admitted")
{
    const double rate = 45;
    fleet f{16, rate, 55};
    const auto flood = [&](std::size_t) { return rate * 0.6 * 7.8 / 16; };
    f.run(6s, [&](std::size_t) { return rate * 0.6 / 16; });
    f.run(1s, flood);
    for (std::size_t i = 0; i < 16; ++i) {
        f.restart(i, 550ms + 10ms * static_cast<int>(i));
    }
    f.run(8s, flood);
    INFO("most " << f.max_in_window << ", bound " << f.bound());
    CHECK(f.max_in_window <= f.bound());
    f.refused = 0;
    f.sent = 0;
    f.run(5s, flood);
    CHECK(static_cast<double>(f.sent - f.refused) > rate * 5 * 0.9);
}

// Guards against a cut-off side that serves nothing, and against one that takes more than its part.
TEST_CASE("both sides of a partition serve their part of the rate")
{
    const double rate = 100;
    fleet f{12, rate};
    f.run(5s, [&](std::size_t) { return rate * 0.6 / 12; });
    f.linked = [](std::size_t a, std::size_t b) { return (a < 4) == (b < 4); };
    f.run(3s, [&](std::size_t) { return rate * 0.6 / 12; });
    for (const bool small_side : {true, false}) {
        f.refused = 0;
        f.sent = 0;
        f.run(5s, [&](std::size_t i) { return (i < 4) == small_side ? rate * 0.6 / 12 : 0; });
        INFO("small side " << small_side << " refused " << f.refused << " of " << f.sent);
        CHECK(static_cast<double>(f.refused) <= 0.02 * static_cast<double>(f.sent));
    }
}

// Links that are so narrow that messages arrive seconds late. Guards against tokens that are spent long after
// they were granted, and against views of the rate that are out of date.
TEST_CASE("late messages do not add to what is admitted")
{
    const double rate = 142;
    fleet f{69, rate};
    f.run(5s, [&](std::size_t) { return rate * 0.6 / 69; });
    f.delay = [](std::size_t a, std::size_t b) -> duration { return (a + b) % 2 == 0 ? 1200ms : 2ms; };
    f.run(12s, [&](std::size_t) { return rate * 1.8 / 69; });
    INFO("most " << f.max_in_window << " bound " << f.bound());
    CHECK(f.max_in_window <= f.bound());
}

// Guards against a node that was paused with tokens in hand, or with requests for tokens in its buffers, and
// grants or spends them when it continues.
TEST_CASE("a paused allocator does not grant again what its successor has granted")
{
    const double rate = 60;
    fleet f{9, rate};
    f.run(5s, [&](std::size_t) { return rate * 0.6 / 9; });
    const auto allocator = f.allocator();
    f.paused = [allocator](std::size_t i) { return i == allocator; };
    f.run(4s, [&](std::size_t) { return rate * 5 / 9; });
    f.paused = [](std::size_t) { return false; };
    f.run(6s, [&](std::size_t) { return rate * 5 / 9; });
    INFO("most " << f.max_in_window << " bound " << f.bound());
    CHECK(f.max_in_window <= f.bound());
}

// Random series of partitions, one-way losses, resets, refused dials, delays, pauses, restarts, slow stores
// and floods. Guards against any of them adding to what the rule of the sliding window allows.
TEST_CASE("what all nodes admit stays within the bound under random faults")
{
    rc::prop("window bound", [](std::uint32_t seed) {
        random_source random{seed};
        const auto pick = [&](std::size_t most) {
            return static_cast<std::size_t>(random.unit() * static_cast<double>(most));
        };
        const std::size_t nodes = 3 + pick(30);
        const double rate = 15 + random.unit() * 250;
        fleet f{nodes, rate, rate * (0.8 + random.unit()), seed};
        f.run(6s, [&](std::size_t) { return rate * 0.6 / static_cast<double>(nodes); });
        for (int phase = 0; phase < 6; ++phase) {
            const auto side = 1 + pick(nodes - 1);
            const auto kind = pick(8);
            const double load =
                (random.unit() < 0.5 ? 0.6 : 1 + random.unit() * 7) / static_cast<double>(nodes);
            f.linked = [=](std::size_t a, std::size_t b) {
                const bool across = (a < side) != (b < side);
                return kind == 0 ? !across : kind == 1 ? !across || a < side : true;
            };
            f.delay = [=](std::size_t a, std::size_t b) -> duration {
                return kind == 2 && (a < side || b < side) ? 900ms : 2ms;
            };
            const auto stopped = pick(nodes);
            f.paused = [=](std::size_t i) { return kind == 3 && i == stopped; };
            f.resets = [=](std::size_t a, std::size_t b) {
                return (kind == 5 || kind == 6) && (a < side) != (b < side);
            };
            f.refuses = kind == 6;
            if (kind == 4 || kind == 7) {
                for (std::size_t i = 0; i < side; ++i) {
                    f.restart(i, kind == 7 ? milliseconds{pick(700)} : milliseconds{0});
                }
            }
            f.run(std::chrono::milliseconds{500 + pick(4500)}, [&](std::size_t) { return rate * load; });
        }
        RC_ASSERT(f.max_in_window <= f.bound());
    });
}

// Allocators in a distant region, with a round trip of 80 ms. Guards against requests for tokens that are
// repeated before their answer can arrive, so that no answer is ever used.
TEST_CASE("demand within the rate is served over slow links")
{
    const double rate = 120;
    fleet f{60, rate};
    f.delay = [](std::size_t a, std::size_t b) -> duration { return (a < 30) == (b < 30) ? 1ms : 40ms; };
    f.run(5s, [&](std::size_t) { return rate * 0.6 / 60; });
    f.refused = 0;
    f.sent = 0;
    f.run(10s, [&](std::size_t) { return rate * 0.6 / 60; });
    INFO("refused " << f.refused << " of " << f.sent);
    CHECK(static_cast<double>(f.refused) <= 0.01 * static_cast<double>(f.sent));
}
