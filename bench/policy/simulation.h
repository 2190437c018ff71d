#pragma once

#include "bench/policy/variant.h"
#include "bench/policy/workload.h"

#include <array>
#include <cstdint>
#include <memory>
#include <vector>

namespace wagtailhatch::bench {

/// One run: a trigger that occurs twice, and its timing in seconds of simulated time.
struct scenario {
    trigger trigger_kind = trigger::none;
    double warm_up = 3;
    double duration = 6;
    double gap = 4;                   ///< Pause after each trigger.
    std::uint32_t caller_retries = 3; ///< Maximum number of retries of a request by its caller.

    double start_of(int occurrence) const { return warm_up + occurrence * (duration + gap); }
    double end_of(int occurrence) const { return start_of(occurrence) + duration; }
    double end() const { return start_of(2); }
};

struct tally {
    std::uint32_t sent = 0;
    std::uint32_t succeeded = 0; ///< Complete answers within the caller's deadline.
    std::uint32_t refused = 0;   ///< Requests whose first attempt was refused.
};

/// Measurements of one run. Requests are counted at the time of their first attempt.
struct outcome_counts {
    static constexpr double bucket = 0.25; ///< Seconds.
    std::vector<tally> buckets;
    std::array<tally, importance_count> by_level{}; ///< During the triggers.
    std::vector<tally> by_workspace;                ///< During the triggers.
    /// Successful requests per second through the bottleneck that completed during the triggers.
    double goodput = 0;
    double bottleneck_sent = 0;       ///< Calls that reached a node of the bottleneck.
    double bottleneck_runs = 0;       ///< Calls that a target of the bottleneck started.
    double bottleneck_requests = 0;   ///< Caller requests whose route ends at the bottleneck.
    std::uint32_t target_crashes = 0; ///< Targets crashed by the crashing request.
    /// Largest excess of a workspace over rate x time + burst since the start, in requests.
    double rate_excess = 0;
};

/// Runs one simulation, which is deterministic for a given seed.
outcome_counts simulate(const sim_deployment& deployment, const scenario& spec, const variant& policy,
                        std::uint64_t seed);

/// Seconds from the end of the trigger until the success ratio of every later bucket is at least 95% of the
/// ratio before the first trigger; the worse of the two occurrences. The length of the gap if the ratio does
/// not recover within it.
double recovery_time(const outcome_counts& counts, const scenario& spec);

} // namespace wagtailhatch::bench
