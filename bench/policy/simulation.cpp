#include "bench/policy/simulation.h"

#include "bench/policy/simulator.h"

#include <algorithm>
#include <cmath>

namespace wagtailhatch::bench {

outcome_counts simulate(const sim_deployment& deployment, const scenario& spec, const variant& policy,
                        std::uint64_t seed)
{
    return simulator{deployment, spec, policy, seed}.run();
}

namespace {

// Buckets with fewer requests are too small a sample and are treated as fully successful.
constexpr std::uint32_t min_sample_size = 20;

double bucket_success_ratio(const tally& t)
{
    return t.sent < min_sample_size ? 1.0 : static_cast<double>(t.succeeded) / t.sent;
}

} // namespace

double recovery_time(const outcome_counts& counts, const scenario& spec)
{
    tally before;
    const auto bucket_at = [](double t) {
        return static_cast<std::size_t>(std::lround(t / outcome_counts::bucket));
    };
    for (auto i = bucket_at(1.0); i < bucket_at(spec.warm_up - 0.5); ++i) {
        before.sent += counts.buckets.at(i).sent;
        before.succeeded += counts.buckets.at(i).succeeded;
    }
    const double required_ratio = 0.95 * bucket_success_ratio(before);
    double worst = 0;
    for (int occurrence = 0; occurrence < 2; ++occurrence) {
        const auto first = bucket_at(spec.end_of(occurrence));
        // Excludes the last second of the run, whose requests may be unanswered when the run ends.
        const auto last = bucket_at(spec.end_of(occurrence) + spec.gap - (occurrence == 1 ? 1.0 : 0.0));
        for (auto i = first; i < last; ++i) {
            if (bucket_success_ratio(counts.buckets.at(i)) < required_ratio) {
                worst = std::max(worst, static_cast<double>(i + 1 - first) * outcome_counts::bucket);
            }
        }
    }
    return worst;
}

} // namespace wagtailhatch::bench
