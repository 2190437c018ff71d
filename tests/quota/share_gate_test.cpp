#include "include/quota/share_gate.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace wagtailhatch;

namespace {

configuration with_weights(const std::vector<double>& weights, double burst, std::uint64_t version)
{
    configuration c;
    c.version = version;
    for (std::size_t i = 0; i < weights.size(); ++i) {
        const auto name = "dc" + std::to_string(i);
        c.data_centres[name] = {name, weights[i], false};
    }
    c.workspaces["w"] = {"w", 100, burst, "dc0", {}};
    return c;
}

rc::Gen<std::vector<double>> some_weights(std::size_t count)
{
    return rc::gen::container<std::vector<double>>(count, rc::gen::element(0.5, 1.0, 2.0, 5.0));
}

} // namespace

// Guards against shares that add up to more than the workspace's rate or burst, and against a part that falls
// when the burst rises, which would break the sum while versions differ.
TEST_CASE("shares add up and grow with the burst")
{
    CHECK(rc::check("shares", [] {
        const auto weights = *some_weights(static_cast<std::size_t>(*rc::gen::inRange(1, 6)));
        const int burst = *rc::gen::inRange(1, 60);
        const auto c = with_weights(weights, burst, 1);
        const auto more = with_weights(weights, burst + 1, 1);
        double rate = 0;
        std::uint64_t sum = 0;
        for (const auto& [name, dc] : c.data_centres) {
            const auto share = share_of(c, c.workspaces.at("w"), name);
            rate += share.rate;
            sum += share.burst;
            RC_ASSERT(share.burst <= share_of(more, more.workspaces.at("w"), name).burst);
        }
        RC_ASSERT(sum == static_cast<std::uint64_t>(burst));
        RC_ASSERT(rate <= 100 + 1e-9);
        RC_ASSERT(rate >= 100 - 1e-9);
    }));
}

// Guards against a sum of shares above the whole while data centres skip versions and confirm at any time.
TEST_CASE("gates never mint more than the whole together")
{
    CHECK(rc::check("gates", [] {
        const std::size_t count = 3;
        std::vector<std::shared_ptr<const configuration>> versions;
        for (std::uint64_t v = 1; v <= 8; ++v) {
            versions.push_back(std::make_shared<configuration>(with_weights(*some_weights(count), 1000, v)));
        }
        std::vector<share_gate> gates;
        for (std::size_t i = 0; i < count; ++i) {
            gates.emplace_back("dc" + std::to_string(i), nullptr);
        }
        const int steps = *rc::gen::inRange(1, 60);
        for (int s = 0; s < steps; ++s) {
            const auto a = *rc::gen::inRange<std::size_t>(0, count);
            if (*rc::gen::inRange(0, 3) == 0) {
                gates[a].adopt(versions[*rc::gen::inRange<std::size_t>(0, versions.size())]);
            }
            else {
                const auto b = *rc::gen::inRange<std::size_t>(0, count);
                gates[a].confirmed("dc" + std::to_string(b), gates[b].version(), gates[b].stamp());
            }
            double rate = 0;
            std::uint64_t burst = 0;
            for (const auto& g : gates) {
                rate += g.share("w").rate;
                burst += g.share("w").burst;
            }
            RC_ASSERT(rate <= 100 + 1e-9);
            RC_ASSERT(burst <= 1000U);
        }
    }));
}
