#include "bench/policy/job_runner.h"

#include <atomic>
#include <thread>

namespace wagtailhatch::bench {

void run_jobs(std::vector<job>& jobs, unsigned threads)
{
    std::atomic<std::size_t> next{0};
    std::vector<std::jthread> workers;
    for (unsigned i = 0; i < threads; ++i) {
        workers.emplace_back([&] {
            for (auto n = next++; n < jobs.size(); n = next++) {
                auto& j = jobs[n];
                j.counts = simulate(*j.deployment, j.spec, j.policy, j.seed);
            }
        });
    }
}

} // namespace wagtailhatch::bench
