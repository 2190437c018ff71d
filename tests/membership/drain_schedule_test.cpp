#include "include/membership/drain_schedule.h"

#include <catch2/catch.hpp>

using namespace wagtailhatch;
using namespace std::chrono_literals;

// Guards against a healthy target that gets no work as soon as its node is requested to stop: in a rolling
// restart a service lost one target for three seconds per step.
TEST_CASE("peers use the target of a stopping node until shortly before the node ends")
{
    drain_schedule drain{6s};
    const steady_time start{1h};
    CHECK_FALSE(drain.stops_peer_traffic(start));
    drain.begin(start);
    CHECK_FALSE(drain.stops_peer_traffic(start + 1500ms));
    CHECK(drain.stops_peer_traffic(start + 1600ms));
    CHECK_FALSE(drain.finished(start + 1600ms, true));
}

// Guards against a process that exits before its callers have noticed, waits without need, or is killed.
TEST_CASE("a shutdown ends when no request is in progress, and always within the stop time")
{
    drain_schedule drain{6s};
    const steady_time start{1h};
    drain.begin(start);
    CHECK_FALSE(drain.finished(start + 2500ms, true));
    CHECK(drain.finished(start + 2600ms, true));
    CHECK_FALSE(drain.finished(start + 5s, false));
    // The stop time must also cover removing the own row and exiting: two processes were killed when it did
    // not.
    CHECK(drain.finished(start + 5100ms, false));
}

// Guards against requests that a stopping node takes late, passes on and breaks off when it exits: orders of
// 1.9 s that were taken 3.0 to 3.6 s after the stop request ended without an answer of their target.
TEST_CASE("once callers know of the shutdown, only requests that end before it are taken")
{
    drain_schedule drain{6s};
    const steady_time start{1h};
    CHECK(drain.admits(start, start + 30s));
    drain.begin(start);
    CHECK(drain.admits(start + 2500ms, start + 8s));
    CHECK_FALSE(drain.admits(start + 2600ms, start + 5100ms));
    CHECK(drain.admits(start + 2600ms, start + 5s));
    CHECK_FALSE(drain.admits(start + 3s, start + 5500ms));
    CHECK(drain.admits(start + 4500ms, start + 5s));
    // Whatever is taken on ends before the process does.
    for (duration since = 2600ms; since < 6s; since += 100ms) {
        const auto deadline = start + since + 400ms;
        const bool ends_first = !drain.finished(deadline, false);
        CHECK(drain.admits(start + since, deadline) == ends_first);
    }
}

// Guards against a short stop time that has elapsed before the peers are notified.
TEST_CASE("a short stop time is left mostly to the calls in progress")
{
    drain_schedule drain{2s};
    const steady_time start{1h};
    drain.begin(start);
    CHECK(drain.stops_peer_traffic(start + 600ms));
    CHECK(drain.finished(start + 1800ms, false));
    CHECK(drain.admits(start + 800ms, start + 2s));
    CHECK_FALSE(drain.admits(start + 900ms, start + 1700ms));
    CHECK(drain.admits(start + 900ms, start + 1600ms));
}
