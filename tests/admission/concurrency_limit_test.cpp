#include "include/admission/concurrency_limit.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <vector>

using namespace wagtailhatch;
using namespace std::chrono_literals;

namespace {

concurrency_limit_options adaptive_up_to(std::uint32_t maximum)
{
    concurrency_limit_options options;
    options.initial = maximum;
    options.maximum = maximum;
    return options;
}

// Target whose latency grows in proportion once more requests than slots are in flight. Runs as many requests
// as the limit allows.
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

// Guards against a limit that stays far below or far above the capacity of an unconfigured target.
TEST_CASE("concurrency limit finds the slots of a target without configuration")
{
    concurrency_limit limit{{}};
    saturated_target target{limit, 100, 0.1};
    target.run(30s);
    CHECK(limit.limit() >= 90);
    CHECK(limit.limit() <= 200);
}

// Guards against reducing the limit when the target is slow for reasons other than queueing: fewer requests
// in flight would then only lower the throughput.
TEST_CASE("concurrency limit is kept when the target itself becomes four times slower")
{
    concurrency_limit limit{adaptive_up_to(40)};
    saturated_target target{limit, 40, 0.05};
    target.run(5s);
    target.service = 0.2;
    target.run(10s);
    CHECK(limit.limit() >= 36);
}

// Guards against a limit that stays low after a load peak.
TEST_CASE("concurrency limit grows back within two seconds")
{
    concurrency_limit limit{adaptive_up_to(100)};
    saturated_target target{limit, 100, 0.1};
    target.run(2s);
    limit.restart(25);
    target.run(2s);
    CHECK(limit.limit() == 100);
}

// Guards against reducing the limit below the configured slots because the target is slow.
TEST_CASE("concurrency limit stays at the configured slots")
{
    concurrency_limit limit{limit_options_for_slots(40)};
    saturated_target target{limit, 10, 0.05};
    target.run(5s);
    CHECK(limit.limit() == usable_slots(40));
}

// An overloaded target that slows down while nearly all of its slots are taken. Guards against using the last
// slots, which cost more throughput than they add: the last service of the call chain served a tenth less.
TEST_CASE("a target that slows down when nearly full serves more with a few slots left free")
{
    constexpr double slots = 36;
    constexpr double service = 0.055;
    const auto served_per_second = [](double in_flight) {
        const bool nearly_full = in_flight > slots * 0.95;
        return in_flight / (service * (nearly_full ? 1.5 : 1));
    };
    const concurrency_limit limit{limit_options_for_slots(36)};
    CHECK(served_per_second(limit.limit()) > served_per_second(slots) * 1.3);
    CHECK(served_per_second(limit.limit()) > served_per_second(slots * 0.9));
}

// Guards against small targets losing a large part of their slots, and against a limit of 0.
TEST_CASE("usable slots leave a few slots free, and none on a small target")
{
    CHECK(usable_slots(1) == 1);
    CHECK(usable_slots(7) == 7);
    CHECK(usable_slots(12) == 11);
    CHECK(usable_slots(36) == 34);
    CHECK(usable_slots(133) == 126);
}

// Guards against a limit of 0, which would block a target permanently, and against exceeding the maximum.
TEST_CASE("concurrency limit stays between floor and maximum")
{
    rc::prop("for any latencies", [](const std::vector<std::pair<std::uint16_t, bool>>& finishes) {
        const auto options = adaptive_up_to(30);
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
