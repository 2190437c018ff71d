#pragma once

#include "bench/policy/variant.h"
#include "bench/policy/workload.h"

#include <array>
#include <cstdint>
#include <memory>
#include <vector>

namespace wagtailhatch::bench {

/// Times in seconds of simulated time. The trigger happens twice.
struct scenario {
    trigger what = trigger::none;
    double warm_up = 3;
    double duration = 6;
    double gap = 4; ///< After each trigger.
    std::uint32_t caller_retries = 3;

    double start_of(int occurrence) const { return warm_up + occurrence * (duration + gap); }
    double end_of(int occurrence) const { return start_of(occurrence) + duration; }
    double end() const { return start_of(2); }
};

struct tally {
    std::uint32_t sent = 0;
    std::uint32_t whole = 0;   ///< Whole answers within the caller's patience.
    std::uint32_t refused = 0; ///< Whose first attempt was refused.
};

/// What one run measured. Requests are counted by the time of their first attempt.
struct outcome_counts {
    static constexpr double bucket = 0.25; ///< Seconds.
    std::vector<tally> buckets;
    std::array<tally, importance_count> by_level{}; ///< During the triggers.
    std::vector<tally> by_workspace;                ///< During the triggers.
    double goodput = 0; ///< Whole answers a second that used the bottleneck, by completion, in the triggers.
    double bottleneck_sent = 0;     ///< Calls that reached a node of the bottleneck.
    double bottleneck_runs = 0;     ///< Calls that a target of the bottleneck started.
    double bottleneck_requests = 0; ///< Caller requests whose route ends there.
    std::uint32_t deaths = 0;       ///< Of targets, by the crashing request.
};

outcome_counts simulate(const sim_deployment& deployment, const scenario& what, const variant& policy,
                        std::uint64_t seed);

/// Seconds after the end of the trigger until every later bucket has at least 95% of the earlier part of
/// whole answers; the worse of the two occurrences. The gap's length if that does not happen in it.
double recovery_time(const outcome_counts& counts, const scenario& what);

} // namespace wagtailhatch::bench
