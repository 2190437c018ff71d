#include "tests/call/dispatcher_fixture.h"

#include <catch2/catch.hpp>

using namespace wagtailhatch;
using namespace wagtailhatch::test;
using namespace std::chrono_literals;

// Guards against a cold target that gets its usual load: it crashes and comes back cold.
TEST_CASE("a cold target gets requests at its cold rate, the excess is refused and senders are told")
{
    constexpr std::uint32_t slots = 50;
    fixture f{[&](std::size_t) { return raw_server::action{answer("a", "Mark: 1\r\n", "")}; }, slots};
    f.dispatcher.set_cold_start({0.5, 10s, 1.5, 8});
    CHECK(f.dispatcher.cold_start().assumed());
    const auto reported = f.time.now();
    f.dispatcher.set_target({"i-1", target_phase::ready, slots, reported + 1min, reported});
    CHECK(f.dispatcher.cold_start().cold(f.time.now()));
    CHECK_FALSE(f.dispatcher.cold_start().assumed());
    CHECK(f.dispatcher.take_cold_starts() == 1);
    constexpr std::size_t burst = 20;
    std::vector<std::shared_ptr<sink_recorder>> sinks;
    for (std::size_t i = 0; i < burst; ++i) {
        sinks.push_back(f.start("a", true, importance::normal, 1min));
    }
    settle(f.io);
    CHECK(f.server.requests() <= 1);
    std::size_t refused = 0;
    for (const auto& sink : sinks) {
        if (sink->failure) {
            CHECK_FALSE(sink->failure->may_have_run);
            CHECK(sink->failure->retry_after > duration{});
            ++refused;
        }
    }
    CHECK(refused > burst / 2);
    CHECK(refused < burst);
    CHECK(f.dispatcher.load().rate_limit == 0.5);
    CHECK(f.dispatcher.load().limit < slots / 2);
    SECTION("the rate that a response does not name changes nothing")
    {
        const auto sink = f.start("a", true, importance::critical, 1min);
        REQUIRE(f.wait([&] { return sink->over(); }));
        CHECK(f.dispatcher.load().rate_limit == 0.5);
    }
    SECTION("no configured rate, no limit")
    {
        f.dispatcher.set_cold_start({});
        for (std::size_t i = 0; i < burst; ++i) {
            f.start("a", true, importance::normal, 1min);
        }
        // Those that waited and the new ones.
        CHECK(f.wait([&] { return f.server.requests() == 2 * burst - refused; }));
        CHECK(f.dispatcher.load().rate_limit == 0);
    }
}

// The target was out of this node's sight, as during an evacuation. Guards against the usual load to a target
// that has become cold meanwhile, and against a state known from before that ends the limit.
TEST_CASE("a target counts as cold from the call that expects it until a newer message")
{
    fixture f{[&](std::size_t) { return raw_server::action{answer("a", "Mark: 1\r\n", "")}; }, 50};
    f.dispatcher.set_cold_start({20, 10s, 1.5, 8});
    auto reported = f.time.now();
    target_state state{"i-1", target_phase::ready, 50, reported, reported};
    f.dispatcher.set_target(state);
    CHECK_FALSE(f.dispatcher.cold_start().cold(f.time.now()));
    f.dispatcher.expect_cold_start();
    CHECK(f.dispatcher.cold_start().cold(f.time.now()));
    f.dispatcher.set_target(state);
    CHECK(f.dispatcher.cold_start().cold(f.time.now()));
    reported = f.time.now();
    state.cold_until = reported;
    state.cold_reported = reported;
    f.dispatcher.set_target(state);
    CHECK_FALSE(f.dispatcher.cold_start().cold(f.time.now()));
    CHECK(f.dispatcher.load().rate_limit == 0);
}

// The target's process ends and another one takes its address. Guards against the usual load to the new
// process on the word of its predecessor.
TEST_CASE("a target that refused a connection counts as cold until it reports again")
{
    asio::io_context io{1};
    system_clock_source time;
    plain_codec codec;
    asio::ip::tcp::acceptor closed{io, {asio::ip::make_address("127.0.0.1"), 0}};
    const auto address = closed.local_endpoint();
    closed.close();
    target_dispatcher dispatcher{io, time, codec, {"front", address, {}}};
    dispatcher.set_cold_start({20, 10s, 1.5, 8});
    auto reported = time.now();
    target_state state{"i-1", target_phase::ready, 50, reported, reported};
    dispatcher.set_target(state);
    REQUIRE_FALSE(dispatcher.cold_start().cold(time.now()));
    service_call call;
    call.service = "front";
    call.deadline = call.soft_deadline = time.now() + 10s;
    const auto sink = std::make_shared<sink_recorder>();
    const auto handle = dispatcher.start(std::move(call), sink);
    REQUIRE(run_until(io, [&] { return sink->over(); }));
    dispatcher.set_target(state);
    CHECK(dispatcher.cold_start().cold(time.now()));
    CHECK(dispatcher.load().rate_limit == 20);
    reported = time.now();
    state.cold_until = reported;
    state.cold_reported = reported;
    dispatcher.set_target(state);
    CHECK_FALSE(dispatcher.cold_start().cold(time.now()));
}
