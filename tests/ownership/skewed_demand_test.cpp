#include "tests/ownership/simulation.h"

#include <catch2/catch.hpp>

using namespace wagtailhatch;
using sim::ms;

namespace {

struct outcome_counts {
    std::uint64_t refused = 0;
    std::uint64_t granted = 0;
    double messages_per_take = 0;
};

// All demand in one data centre at the full rate, evenly spaced over its nodes, for 60 s of simulated time.
outcome_counts skewed(int data_centres, double rate, double burst)
{
    sim::settings s;
    s.data_centres = data_centres;
    s.rate = rate;
    s.burst = burst;
    s.skewed_clocks = false;
    sim::world w{s};
    w.advance(2000 * ms);
    const auto before = w.messages;
    const auto takes = static_cast<int>(60 * rate);
    for (int i = 0; i < takes; ++i) {
        w.take(i % s.nodes, 1);
        w.advance(static_cast<sim::true_time>(1e9 / rate));
    }
    const auto sent = w.messages - before;
    w.advance(2000 * ms);
    CHECK(w.violation().empty());
    return {w.refused, w.granted, static_cast<double>(sent) / takes};
}

} // namespace

// Guards against refusals within the rate when all demand comes in at one data centre.
TEST_CASE("demand at the full rate in one data centre is never refused")
{
    for (const int data_centres : {1, 2, 4}) {
        for (const double rate : {20.0, 200.0}) {
            const auto r = skewed(data_centres, rate, 40);
            INFO(data_centres << " data centres, rate " << rate << ", messages a take "
                              << r.messages_per_take);
            CHECK(r.refused == 0);
            WARN(data_centres << " data centres, rate " << rate << ": granted " << r.granted
                              << ", messages a take " << r.messages_per_take);
        }
    }
}
