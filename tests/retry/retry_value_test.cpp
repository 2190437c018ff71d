#include "include/core/random_source.h"
#include "include/retry/retry_budget.h"
#include "include/retry/retry_value.h"

#include <catch2/catch.hpp>

using namespace wagtailhatch;
using namespace std::chrono_literals;

namespace {

constexpr int calls_of_chain = 5;
constexpr double success = 0.45;

/// Simulates chains of five sequential calls to a service that rejects requests at random; returns the
/// fraction of chains that succeed.
double completed_chain_fraction(bool by_progress)
{
    random_source random{3};
    retry_budget budget{{}};
    steady_time now{1h};
    int finished = 0;
    constexpr int chains = 20'000;
    for (int chain = 0; chain < chains; ++chain) {
        std::uint32_t done = 0;
        while (done < calls_of_chain) {
            now += 1ms;
            budget.on_request(now);
            service_call call;
            call.depth = 1;
            bool ended = random.unit() < success;
            while (!ended && budget.try_take(now, by_progress ? retry_reserve(call, done) : 0)) {
                ended = random.unit() < success;
            }
            if (!ended) {
                break;
            }
            ++done;
        }
        finished += done == calls_of_chain ? 1 : 0;
    }
    return static_cast<double>(finished) / chains;
}

} // namespace

// All targets of a service reject about half of their requests, and calls come in chains. Guards against a
// retry budget that is spread so thinly over chains that hardly any of them completes.
TEST_CASE("more chains succeed if repeats go to advanced chains first")
{
    const double even = completed_chain_fraction(false);
    const double by_progress = completed_chain_fraction(true);
    INFO("even " << even << " by progress " << by_progress);
    CHECK(by_progress > even * 1.2);
}

// Guards against less important requests using up the repeats of more important ones.
TEST_CASE("important requests leave no reserve, less important ones do")
{
    service_call call;
    call.level = importance::high;
    CHECK(retry_reserve(call, 0) == 0);
    call.level = importance::normal;
    CHECK(retry_reserve(call, 0) > 0);
    call.depth = 1;
    CHECK(retry_reserve(call, 0) > retry_reserve(call, 2));
    CHECK(retry_reserve(call, 9) == 0);
}
