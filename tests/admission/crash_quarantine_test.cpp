#include "include/admission/crash_quarantine.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace wagtailhatch;
using namespace std::chrono_literals;

namespace {

const steady_time first_crash{1h};

} // namespace

// Guards against one poison request crashing one target after another.
TEST_CASE("crash quarantine blocks a request after two crashes")
{
    crash_quarantine quarantine{{}};
    quarantine.on_target_crash({1, {7, 8}}, first_crash);
    CHECK_FALSE(quarantine.remaining_quarantine(7, first_crash));
    quarantine.on_target_crash({2, {7, 9}}, first_crash + 1s);
    CHECK(quarantine.remaining_quarantine(7, first_crash + 1s) == duration{10min});
    CHECK_FALSE(quarantine.remaining_quarantine(8, first_crash + 1s));
    CHECK_FALSE(quarantine.remaining_quarantine(7, first_crash + 11min));
}

// Guards against counting one crash twice when several nodes forward its report.
TEST_CASE("crash quarantine counts a duplicate crash report once")
{
    crash_quarantine quarantine{{}};
    quarantine.on_target_crash({1, {7, 7}}, first_crash);
    quarantine.on_target_crash({1, {7}}, first_crash);
    CHECK_FALSE(quarantine.remaining_quarantine(7, first_crash));
}

// Guards against quarantining requests that were merely in flight together with a poison request.
TEST_CASE("crash quarantine clears requests that finish")
{
    crash_quarantine quarantine{{}};
    quarantine.on_target_crash({1, {7, 8}}, first_crash);
    CHECK(quarantine.on_finished(8));
    CHECK_FALSE(quarantine.on_finished(8));
    quarantine.on_target_crash({2, {7, 8}}, first_crash);
    CHECK(quarantine.remaining_quarantine(7, first_crash));
    CHECK_FALSE(quarantine.remaining_quarantine(8, first_crash));
}

// Guards against unbounded memory and against evicting a confirmed poison request for many new suspects.
TEST_CASE("crash quarantine is bounded and keeps the fingerprints with the most crashes")
{
    crash_quarantine_options options;
    options.max_fingerprints = 50;
    crash_quarantine quarantine{options};
    quarantine.on_target_crash({1, {7}}, first_crash);
    quarantine.on_target_crash({2, {7}}, first_crash);
    for (std::uint64_t i = 0; i < 40; ++i) {
        quarantine.on_target_crash({100 + i, {1000 + i * 2, 1001 + i * 2}}, first_crash + 1s);
        CHECK(quarantine.size() <= 50);
    }
    CHECK(quarantine.remaining_quarantine(7, first_crash + 2s));
}

// Guards against more than two crashes caused by one request that is retried repeatedly among many others.
TEST_CASE("crash quarantine bounds the crashes that one request causes")
{
    rc::prop("for any concurrent requests", [](const std::vector<std::vector<std::uint8_t>>& neighbours) {
        crash_quarantine quarantine{{}};
        std::uint32_t crashes = 0;
        for (const auto& others : neighbours) {
            for (const auto o : others) {
                quarantine.on_finished(1 + o);
            }
            if (quarantine.remaining_quarantine(0, first_crash)) {
                continue;
            }
            crash_report report{++crashes, {0}};
            report.fingerprints.insert(report.fingerprints.end(), others.begin(), others.end());
            quarantine.on_target_crash(report, first_crash);
        }
        RC_ASSERT(crashes <= 2);
    });
}
