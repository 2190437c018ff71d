#include "tests/call/dispatcher_fixture.h"

#include <catch2/catch.hpp>

using namespace wagtailhatch;
using namespace wagtailhatch::test;
using namespace std::chrono_literals;

// More requests than slots. Guards against sending a target more requests than it has slots, and against a
// less important request being sent before a more important one.
TEST_CASE("requests wait for a slot in the order of their importance")
{
    fixture f{[&](std::size_t) { return raw_server::action{}; }};
    std::vector<duration> waits;
    f.dispatcher.on_sent([&](duration waited) { waits.push_back(waited); });
    const auto a = f.start("a");
    const auto b = f.start("b", true, importance::low);
    const auto c = f.start("c", true, importance::critical);
    REQUIRE(f.wait([&] { return f.server.requests() == 1; }));
    settle(f.io);
    CHECK(f.server.requests() == 1);
    f.server.send(0, answer("a", "Mark: 1\r\n", ""));
    REQUIRE(f.wait([&] { return f.server.requests() == 2; }));
    CHECK(f.server.received(0).find("/c ") != std::string::npos);
    f.server.send(0, answer("c", "Mark: 1\r\n", ""));
    REQUIRE(f.wait([&] { return f.server.requests() == 3; }));
    f.server.send(0, answer("b", "Mark: 1\r\n", ""));
    CHECK(f.wait([&] { return a->over() && b->over() && c->over(); }));
    REQUIRE(waits.size() == 3);
    CHECK(waits[0] < waits[1]);
    CHECK(waits[1] < waits[2]);
}

// Guards against sending requests to a target after its drain was acknowledged.
TEST_CASE("new and queued requests for a draining target are rejected as not run")
{
    fixture f{[&](std::size_t) { return raw_server::action{}; }};
    const auto running = f.start("a");
    const auto waiting = f.start("b");
    REQUIRE(f.wait([&] { return f.server.requests() == 1; }));
    f.dispatcher.set_target({"i-1", target_phase::draining, 1, {}});
    const auto late = f.start("c");
    REQUIRE(f.wait([&] { return waiting->over() && late->over(); }));
    CHECK(waiting->failure->reason == refusal_reason::leaving);
    CHECK_FALSE(late->failure->may_have_run);
    f.server.send(0, answer("a", "Mark: 1\r\n", ""));
    CHECK(f.wait([&] { return running->reply.has_value(); }));
}

// Guards against a target that gets more requests than the rate that it named, summed over all nodes (LIMIT).
TEST_CASE("requests above the rate that the target named wait although slots are free")
{
    constexpr std::uint32_t slots = 50;
    fixture f{[&](std::size_t) { return raw_server::action{answer("a", "Mark: 1\r\nRate: 0.5\r\n", "")}; },
              slots};
    const auto first = f.start("a");
    REQUIRE(f.wait([&] { return first->over(); }));
    CHECK(f.dispatcher.load().rate_limit == 0.5);
    for (int i = 0; i < 20; ++i) {
        f.start("a", true, importance::normal, 1min);
    }
    settle(f.io);
    CHECK(f.server.requests() == 1);
}

// Guards against a limit that outlasts the target's need.
TEST_CASE("a response that names no rate lifts the limit")
{
    constexpr std::uint32_t slots = 50;
    std::size_t requests = 0;
    fixture f{[&](std::size_t) {
                  const bool limited = requests++ == 0;
                  return raw_server::action{
                      answer("a", limited ? "Mark: 1\r\nRate: 50\r\n" : "Mark: 1\r\n", "")};
              },
              slots};
    for (int i = 0; i < 2; ++i) {
        const auto sink = f.start("a");
        REQUIRE(f.wait([&] { return sink->over(); }));
    }
    CHECK(f.dispatcher.load().rate_limit == 0);
}

// Guards against a pace in the load report of a target that announces none, which would change how senders
// choose, and against measurements that outlive the target's incarnation.
TEST_CASE("the load report has pace and service time only if the target announces a pace")
{
    std::string pace;
    fixture f{[&](std::size_t) { return raw_server::action{answer("a", "Mark: 1\r\n" + pace, "")}; }};
    const auto run = [&](const std::string& header) {
        pace = header;
        const auto sink = f.start("a");
        REQUIRE(f.wait([&] { return sink->over(); }));
        return f.dispatcher.load();
    };
    CHECK(run("").pace == 0);
    CHECK(run("").service_time == duration{});
    CHECK(run("Pace: 1.5\r\n").pace == 1.5);
    CHECK(f.dispatcher.load().service_time > duration{});
    CHECK(run("Pace: -1\r\n").pace == 1.5);
    CHECK(f.dispatcher.invalid_paces() == 1);
    f.dispatcher.set_target({"i-2", target_phase::ready, 1, {}});
    CHECK(f.dispatcher.load().pace == 0);
    CHECK(f.dispatcher.load().service_time == duration{});
}

// Only some services of a deployment announce a pace. Guards against chains that are balanced and shed by
// other rules at the deepest service than above it.
TEST_CASE("a target that announces no pace counts as usual once other targets announce one")
{
    fixture f{[](std::size_t) { return raw_server::action{answer("a", "Mark: 1\r\n", "")}; }};
    const auto pace_after_response = [&] {
        const auto sink = f.start("a");
        REQUIRE(f.wait([&] { return sink->over(); }));
        return f.dispatcher.load().pace;
    };
    CHECK(pace_after_response() == 0);
    f.dispatcher.assume_usual_pace();
    CHECK(pace_after_response() == 1);
    CHECK(f.dispatcher.load().service_time > duration{});
    CHECK(f.dispatcher.invalid_paces() == 0);
}

// Guards against requests of a target that announces no pace being queued differently than before, and
// against refusing late requests of one that does although a slot becomes free in time.
TEST_CASE("a request that can only be late is refused unless the target announces a pace")
{
    for (const bool announced : {false, true}) {
        INFO(announced);
        std::size_t requests = 0;
        fixture f{[&](std::size_t) {
            const auto head = announced ? "Mark: 1\r\nPace: 1\r\n" : "Mark: 1\r\n";
            return requests++ == 0 ? raw_server::action{answer("a", head, "")} : raw_server::action{};
        }};
        const auto first = f.start("a");
        REQUIRE(f.wait([&] { return first->over(); }));
        f.start("b");
        REQUIRE(f.wait([&] { return f.server.requests() == 2; }));
        f.soft_deadline_passed = true;
        const auto late = f.start("c");
        f.server.send(0, answer("b", "Mark: 1\r\n", ""));
        REQUIRE(f.wait([&] { return late->over() || f.server.requests() == 3; }));
        CHECK(late->failure.has_value() == !announced);
        CHECK(f.server.requests() == (announced ? 3 : 2));
    }
}

// Guards against a node that restarts beside a limited target and sends it too much until the first response.
TEST_CASE("a node that has heard nothing from its target yet uses the rate known to the callers' nodes")
{
    constexpr std::uint32_t slots = 50;
    fixture f{[&](std::size_t) { return raw_server::action{}; }, slots};
    f.rate_hint = 0.5;
    for (int i = 0; i < 20; ++i) {
        f.start("a", true, importance::normal, 1min);
    }
    settle(f.io);
    CHECK(f.server.requests() == 0);
    CHECK(f.dispatcher.load().rate_limit == 0.5);
}

// Guards against requests to a target that has said in a response that it leaves, while its announcement is
// late (DRAIN).
TEST_CASE("a response that says the target leaves is reported once with its id")
{
    fixture f{[&](std::size_t) { return raw_server::action{answer("a", "Mark: 1\r\nLeaving: 1\r\n", "")}; },
              1};
    std::vector<std::string> leaving;
    f.dispatcher.on_target_leaving([&](const std::string& id) { leaving.push_back(id); });
    for (int i = 0; i < 2; ++i) {
        const auto sink = f.start("a");
        REQUIRE(f.wait([&] { return sink->over(); }));
        f.dispatcher.set_target({"i-1", target_phase::draining, 1, {}});
    }
    CHECK(leaving == std::vector<std::string>{"i-1"});
}

// Guards against slots held for disconnected callers, and against aborting non-idempotent requests.
TEST_CASE("cancelling frees the slot of an idempotent request, a non-idempotent one runs to completion")
{
    fixture f{[&](std::size_t) { return raw_server::action{}; }, 2};
    const auto lookup = f.start("a");
    const auto order = f.start("b", false);
    REQUIRE(f.wait([&] { return f.server.requests() == 2; }));
    f.handles[0]->cancel();
    CHECK(f.wait([&] { return f.server.closed() == 1; }));
    f.handles[1]->cancel();
    settle(f.io);
    CHECK(f.server.closed() == 1);
    CHECK(f.dispatcher.in_progress() == 1);
    CHECK_FALSE(lookup->over());
    CHECK_FALSE(order->over());
}

// Guards against a slot held forever by a non-idempotent request whose caller has disconnected and whose
// target never starts or never completes its response.
TEST_CASE("an abandoned non-idempotent request is aborted after its deadline")
{
    for (const std::string begin : {"", "HTTP/1.1 200 OK\r\nId: a\r\nMark: 1\r\n\r\n"}) {
        INFO(begin);
        endless_fixture f{begin, begin.empty() ? "\r\n" : "x"};
        const auto sink = f.start("a", false, importance::normal, 50ms);
        REQUIRE(f.wait([&] { return f.server.requests() == 1; }));
        f.handles[0]->cancel();
        CHECK(f.dispatcher.in_progress() == 1);
        CHECK(f.wait([&] {
            f.dispatcher.sweep();
            return f.dispatcher.in_progress() == 0;
        }));
        CHECK(f.wait([&] { return f.server.ended() == 1; }));
    }
}

// Guards against one poison request crashing every target that runs it.
TEST_CASE("a request that was in flight at two crashes is quarantined")
{
    fixture f{[&](std::size_t) { return raw_server::action{"", true}; }};
    std::size_t reports = 0;
    f.dispatcher.on_target_crash([&](const crash_report& report) {
        ++reports;
        CHECK(report.fingerprints.size() == 1);
    });
    const auto first = f.start("poison");
    REQUIRE(f.wait([&] { return first->over(); }));
    CHECK(first->failure->may_have_run);
    // The reports of two crashes, which refused connections after a lost one would cause.
    f.dispatcher.quarantine().on_target_crash({1, {std::hash<std::string>{}("poison")}}, f.time.now());
    f.dispatcher.quarantine().on_target_crash({2, {std::hash<std::string>{}("poison")}}, f.time.now());
    const auto again = f.start("poison");
    REQUIRE(f.wait([&] { return again->over(); }));
    CHECK(again->failure->reason == refusal_reason::quarantined);
    CHECK_FALSE(again->failure->may_have_run);
    CHECK(reports == 0);
}

// Guards against requests that reach the target of an evacuated data centre, are said to have run, or are cut
// off; and against a target that stays out of use when the evacuation has ended, or that is put into use
// again by an announcement.
TEST_CASE("the target of an evacuated data centre ends its requests and gets no new ones")
{
    std::size_t runs = 0;
    fixture f{[&](std::size_t) {
        ++runs;
        return raw_server::action{answer("first", "Mark: 1\r\n", "x")};
    }};
    const auto first = f.start("first");
    const auto queued = f.start("queued");
    f.dispatcher.set_evacuated(true);
    const auto late = f.start("late");
    REQUIRE(f.wait([&] { return first->over() && queued->over() && late->over(); }));
    CHECK(first->reply);
    for (const auto& sink : {queued, late}) {
        REQUIRE(sink->failure);
        CHECK(sink->failure->reason == refusal_reason::evacuated);
        CHECK_FALSE(sink->failure->may_have_run);
        CHECK_FALSE(sink->failure->reached_target);
    }
    CHECK(f.dispatcher.accepts_calls());
    f.dispatcher.set_target({"i-2", target_phase::ready, 1, {}});
    const auto after_announcement = f.start("after");
    REQUIRE(f.wait([&] { return after_announcement->over(); }));
    CHECK(after_announcement->failure);
    CHECK(runs == 1);
    f.dispatcher.set_evacuated(false);
    const auto again = f.start("first");
    REQUIRE(f.wait([&] { return again->over(); }));
    CHECK(again->reply);
}
