#include "include/routing/weighted_split.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <cmath>
#include <map>

using namespace wagtailhatch;

// Guards against services that deviate from their weights, also over few requests.
TEST_CASE("each service deviates from its weight by at most the number of services at any time")
{
    rc::prop("any weights", [] {
        const auto count = *rc::gen::inRange<std::size_t>(1, 5);
        std::vector<weighted_service> services;
        double total = 0;
        for (std::size_t i = 0; i < count; ++i) {
            services.push_back({"s" + std::to_string(i), static_cast<double>(*rc::gen::inRange(1, 100))});
            total += services.back().weight;
        }
        weighted_split split{services};
        std::map<std::string, double> got;
        for (int n = 1; n <= 300; ++n) {
            got[split.next()] += 1;
            for (const auto& s : services) {
                RC_ASSERT(std::abs(got[s.service] - n * s.weight / total) <= static_cast<double>(count));
            }
        }
    });
}

// Guards against requests to a service that operators have disabled by weight 0.
TEST_CASE("a service of weight 0 gets no requests")
{
    weighted_split split{{{"a", 0}, {"b", 3}}};
    for (int i = 0; i < 20; ++i) {
        CHECK(split.next() == "b");
    }
}
