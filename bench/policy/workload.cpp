#include "bench/policy/workload.h"

#include <array>

namespace wagtailhatch::bench {
namespace {

constexpr double base_utilisation = 0.65;

sim_service service(std::string name, std::vector<int> data_centres, std::uint32_t slots,
                    std::uint32_t connections, double work)
{
    return {std::move(name), std::move(data_centres), slots, connections, work};
}

void derive_rates(sim_deployment& d)
{
    d.workspaces = {0.30, 0.25, 0.15, 0.10, 0.08, 0.06, 0.04, 0.02};
    double request_fraction = 0;
    for (const auto& r : d.routes) {
        for (const auto s : r.path) {
            request_fraction += s == d.bottleneck ? r.request_fraction : 0;
        }
    }
    const auto& b = d.services.at(static_cast<std::size_t>(d.bottleneck));
    d.bottleneck_capacity = static_cast<double>(b.slots * b.data_centres.size()) / b.work;
    d.base_rate = base_utilisation * d.bottleneck_capacity / request_fraction;
}

} // namespace

sim_deployment wrapline()
{
    sim_deployment d;
    d.name = "Wrapline";
    d.data_centres = 4;
    d.services = {
        service("labels", {0, 1, 2, 3}, 115, 800, 0.04), service("orders", {0, 1, 2, 3}, 115, 800, 0.1),
        service("artwork", {0, 1, 2, 3}, 115, 800, 0.12), service("allergens", {0, 1, 2, 3}, 10, 170, 0.12)};
    d.routes = {{"label lookup", importance::normal, 0.45, {0, 2}},
                {"print order", importance::critical, 0.10, {1, 2}, true},
                {"artwork pack", importance::low, 0.40, {2}},
                {"allergen check", importance::critical, 0.05, {0, 3}}};
    d.bottleneck = 2;
    derive_rates(d);
    return d;
}

sim_deployment lavakorpi()
{
    sim_deployment d;
    d.name = "Lavakorpi";
    d.data_centres = 3;
    d.services = {
        service("portal", {0, 1, 2, 0}, 70, 530, 0.03), service("renewals", {0, 1, 2}, 75, 540, 0.06),
        service("documents", {0, 1, 2}, 75, 540, 0.1), service("enforcement", {0, 1, 2}, 30, 290, 0.08)};
    d.routes = {{"status check", importance::normal, 0.55, {0, 2}},
                {"officer lookup", importance::critical, 0.12, {0, 3}},
                {"renewal", importance::critical, 0.08, {1, 2}, true},
                {"document", importance::low, 0.25, {2}}};
    d.bottleneck = 2;
    derive_rates(d);
    return d;
}

sim_deployment chain_of_five()
{
    sim_deployment d;
    d.name = "chain of 5";
    d.data_centres = 3;
    for (int i = 0; i < 5; ++i) {
        d.services.push_back(
            service("hop" + std::to_string(i + 1), {0, 1, 2}, i < 4 ? 200 : 40, 1000, i < 4 ? 0.01 : 0.1));
    }
    d.routes = {{"deep", importance::normal, 0.85, {0, 1, 2, 3, 4}},
                {"deep critical", importance::critical, 0.15, {0, 1, 2, 3, 4}}};
    d.bottleneck = 4;
    derive_rates(d);
    return d;
}

std::string to_string(trigger t)
{
    constexpr std::array names{"no trigger",     "surge 3x",        "3x of the rest", "deep 4x slower",
                               "slow and surge", "workspace 8x",    "replaced cold",  "reports frozen",
                               "targets killed", "crashing request"};
    return names.at(static_cast<std::size_t>(t));
}

} // namespace wagtailhatch::bench
