#include "include/admission/crash_quarantine.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace wagtailhatch;
using namespace std::chrono_literals;

namespace {

const steady_time first_death{1h};

} // namespace

// Guards against one poison request crashing one target after another.
TEST_CASE("crash quarantine blocks a request after two crashes")
{
    crash_quarantine quarantine{{}};
    quarantine.on_death({1, {7, 8}}, first_death);
    CHECK_FALSE(quarantine.held(7, first_death));
    quarantine.on_death({2, {7, 9}}, first_death + 1s);
    CHECK(quarantine.held(7, first_death + 1s) == duration{10min});
    CHECK_FALSE(quarantine.held(8, first_death + 1s));
    CHECK_FALSE(quarantine.held(7, first_death + 11min));
}

// Guards against counting one crash twice when several nodes forward its report.
TEST_CASE("crash quarantine counts a duplicate crash report once")
{
    crash_quarantine quarantine{{}};
    quarantine.on_death({1, {7, 7}}, first_death);
    quarantine.on_death({1, {7}}, first_death);
    CHECK_FALSE(quarantine.held(7, first_death));
}

// Guards against quarantining requests that were merely in flight together with a poison request.
TEST_CASE("crash quarantine clears requests that finish")
{
    crash_quarantine quarantine{{}};
    quarantine.on_death({1, {7, 8}}, first_death);
    CHECK(quarantine.on_finished(8));
    CHECK_FALSE(quarantine.on_finished(8));
    quarantine.on_death({2, {7, 8}}, first_death);
    CHECK(quarantine.held(7, first_death));
    CHECK_FALSE(quarantine.held(8, first_death));
}

// Guards against unbounded memory and against evicting a confirmed poison request for many new suspects.
TEST_CASE("crash quarantine is bounded and keeps the fingerprints with the most crashes")
{
    crash_quarantine_options options;
    options.max_fingerprints = 50;
    crash_quarantine quarantine{options};
    quarantine.on_death({1, {7}}, first_death);
    quarantine.on_death({2, {7}}, first_death);
    for (std::uint64_t i = 0; i < 40; ++i) {
        quarantine.on_death({100 + i, {1000 + i * 2, 1001 + i * 2}}, first_death + 1s);
        CHECK(quarantine.size() <= 50);
    }
    CHECK(quarantine.held(7, first_death + 2s));
}

// Guards against more than two crashes caused by one request that is retried repeatedly among many others.
TEST_CASE("crash quarantine bounds the crashes that one request causes")
{
    rc::prop("for any concurrent requests", [](const std::vector<std::vector<std::uint8_t>>& neighbours) {
        crash_quarantine quarantine{{}};
        std::uint32_t deaths = 0;
        for (const auto& others : neighbours) {
            for (const auto o : others) {
                quarantine.on_finished(1 + o);
            }
            if (quarantine.held(0, first_death)) {
                continue;
            }
            death_report report{++deaths, {0}};
            report.fingerprints.insert(report.fingerprints.end(), others.begin(), others.end());
            quarantine.on_death(report, first_death);
        }
        RC_ASSERT(deaths <= 2);
    });
}
