#include "include/retry/retry_budget.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <deque>

using namespace wagtailhatch;
using namespace std::chrono_literals;

// Guards against amplification by retries after failures, on any load: in no window may repeats exceed the
// slack plus the stated ratio of the requests in that window and the one before it.
TEST_CASE("repeated arrivals of all nodes together stay below ratio and slack in any window")
{
    rc::prop("any load", [] {
        const auto nodes = *rc::gen::inRange<std::size_t>(1, 20);
        const retry_budget_options options;
        std::vector<retry_budget> budgets(nodes, retry_budget{options});
        for (auto& b : budgets) {
            b.set_node_count(nodes);
        }
        steady_time now{1h};
        std::deque<steady_time> requests;
        std::deque<steady_time> repeats;
        for (int i = 0; i < 2000; ++i) {
            now += std::chrono::milliseconds{*rc::gen::inRange(0, 40)};
            auto& b = budgets[*rc::gen::inRange<std::size_t>(0, nodes)];
            if (*rc::gen::inRange(0, 3) != 0) {
                b.on_request(now);
                requests.push_back(now);
            }
            else if (b.try_take(now)) {
                repeats.push_back(now);
            }
            while (!repeats.empty() && now - repeats.front() > options.window) {
                repeats.pop_front();
            }
            while (!requests.empty() && now - requests.front() > options.window * 2) {
                requests.pop_front();
            }
            RC_ASSERT(static_cast<double>(repeats.size()) <=
                      options.ratio * static_cast<double>(requests.size()) + options.slack);
        }
    });
}

// Guards against local retries that continue after repeats of others have used up the budget.
TEST_CASE("repeats caused by upstream requests count against the budget")
{
    retry_budget budget{{}};
    const steady_time now{1h};
    for (int i = 0; i < 100; ++i) {
        budget.on_request(now);
    }
    REQUIRE(budget.try_take(now));
    for (int i = 0; i < 50; ++i) {
        budget.charge(now);
    }
    CHECK_FALSE(budget.try_take(now));
    CHECK(budget.try_take(now + 30s));
}
