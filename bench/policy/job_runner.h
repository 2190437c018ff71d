#pragma once

#include "bench/policy/simulation.h"

#include <vector>

namespace wagtailhatch::bench {

struct job {
    const sim_deployment* deployment = nullptr;
    scenario what;
    variant policy;
    std::uint64_t seed = 1;
    outcome_counts counts; ///< Filled by run_jobs().
};

/// Runs independent simulations on several threads. The results depend only on each job's seed.
void run_jobs(std::vector<job>& jobs, unsigned threads);

} // namespace wagtailhatch::bench
