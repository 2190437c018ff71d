#pragma once

#include "bench/policy/simulation.h"

#include <vector>

namespace wagtailhatch::bench {

struct job {
    const sim_deployment* deployment = nullptr;
    scenario spec;
    variant policy;
    std::uint64_t seed = 1;
    outcome_counts counts; ///< Filled in by run_jobs().
};

/// Runs independent simulations in parallel. A job's result depends only on its fields, not on scheduling.
void run_jobs(std::vector<job>& jobs, unsigned threads);

} // namespace wagtailhatch::bench
