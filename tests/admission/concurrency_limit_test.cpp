#include "include/admission/concurrency_limit.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <vector>

using namespace wagtailhatch;
using namespace std::chrono_literals;

namespace {

// A target whose latency grows once more than its slots are in flight. Keeps the limit used up.
struct saturated_target {
    concurrency_limit& limit;
    double slots;
    double service; ///< Seconds.
    steady_time now{1h};

    void run(duration span)
    {
        for (const auto end = now + span; now < end;) {
            const double in_flight = limit.limit();
            const double latency = service * std::max(1.0, in_flight / slots);
            now += std::chrono::duration_cast<duration>(std::chrono::duration<double>(latency / in_flight));
            limit.on_finish(now, std::chrono::duration_cast<duration>(std::chrono::duration<double>(latency)),
                            true, limit.limit());
        }
    }
};

} // namespace

// Guards against a limit that stays far below or far above what an unknown target can run.
TEST_CASE("concurrency limit finds the slots of a target without configuration")
{
    concurrency_limit limit{{}};
    saturated_target target{limit, 100, 0.1};
    target.run(30s);
    CHECK(limit.limit() >= 90);
    CHECK(limit.limit() <= 200);
}

// Guards against giving up capacity when the target is slow for reasons of its own: fewer requests in flight
// would then only lower what is served.
TEST_CASE("concurrency limit is kept when the target itself becomes four times slower")
{
    concurrency_limit limit{limit_options_for_slots(40)};
    saturated_target target{limit, 40, 0.05};
    target.run(5s);
    target.service = 0.2;
    target.run(10s);
    CHECK(limit.limit() >= 36);
}

// Guards against a limit that stays low after a surge.
TEST_CASE("concurrency limit grows back within two seconds")
{
    concurrency_limit limit{limit_options_for_slots(100)};
    saturated_target target{limit, 100, 0.1};
    target.run(2s);
    limit.restart(25);
    target.run(2s);
    CHECK(limit.limit() == 100);
}

// Guards against a limit of 0, which would stop a target for good, and against exceeding configured slots.
TEST_CASE("concurrency limit stays between floor and maximum")
{
    rc::prop("for any latencies", [](const std::vector<std::pair<std::uint16_t, bool>>& finishes) {
        const auto options = limit_options_for_slots(30);
        concurrency_limit limit{options};
        steady_time now{1h};
        for (const auto& [latency, success] : finishes) {
            now += 20ms;
            limit.on_finish(now, std::chrono::milliseconds{latency}, success, limit.limit());
            RC_ASSERT(limit.limit() >= options.floor);
            RC_ASSERT(limit.limit() <= options.maximum);
        }
    });
}
