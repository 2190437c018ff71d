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
    CHECK_FALSE(drain.refuses_callers(start + 3s));
    CHECK(drain.refuses_callers(start + 3600ms));
}

// Guards against a short stop time that has elapsed before the peers are notified.
TEST_CASE("a short stop time is left mostly to the calls in progress")
{
    drain_schedule drain{2s};
    const steady_time start{1h};
    drain.begin(start);
    CHECK(drain.stops_peer_traffic(start + 600ms));
    CHECK(drain.finished(start + 1800ms, false));
}
