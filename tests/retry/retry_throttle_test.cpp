#include "include/retry/retry_throttle.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <vector>

using namespace wagtailhatch;

// Guards against a sender that answers failures of everything with as many retries.
TEST_CASE("retry throttle bounds retries by ratio and reserve")
{
    rc::prop("any order of attempts and retries", [](const std::vector<bool>& steps) {
        retry_throttle throttle{{}};
        double first = 0;
        double retries = 0;
        for (const bool attempt : steps) {
            if (attempt) {
                throttle.on_first_attempt();
                first += 1;
            }
            else if (throttle.try_retry()) {
                retries += 1;
            }
            RC_ASSERT(retries <= 0.1 * first + 10 + 1e-9);
        }
    });
}

// Guards against refusing the few retries of a healthy sender.
TEST_CASE("retry throttle lets a healthy sender retry")
{
    retry_throttle throttle{{}};
    for (int i = 0; i < 1000; ++i) {
        throttle.on_first_attempt();
        if (i % 20 == 0) {
            CHECK(throttle.try_retry());
        }
    }
}
