#include "bench/registry.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <algorithm>
#include <iostream>
#include <string>

ABSL_FLAG(std::string, suite, "policy", "Benchmark suite to run: policy, capacity or scaling");
ABSL_FLAG(std::string, only, "", "Run only the benchmark with this name");
ABSL_FLAG(bool, quick, false, "Use shorter triggers and fewer seeds");
ABSL_FLAG(std::uint64_t, seed, 1, "Seed of the random number generators");
ABSL_FLAG(unsigned, threads, 8, "Number of simulations run in parallel");

int main(int argc, char** argv)
{
    using namespace wagtailhatch::bench;
    absl::ParseCommandLine(argc, argv);
    const bench_options options{absl::GetFlag(FLAGS_quick), absl::GetFlag(FLAGS_seed),
                                std::max(1U, absl::GetFlag(FLAGS_threads))};
    const auto suite = absl::GetFlag(FLAGS_suite);
    const auto only = absl::GetFlag(FLAGS_only);
    std::cout << "suite " << suite << ", seed " << options.seed << (options.quick ? ", quick" : "") << '\n';
    bench_totals totals;
    auto selected = benchmarks();
    std::stable_sort(selected.begin(), selected.end(),
                     [](const auto& a, const auto& b) { return a.name < b.name; });
    for (const auto& b : selected) {
        if (b.suite == suite && (only.empty() || b.name == only)) {
            std::cout << "\n== " << b.name << '\n';
            const auto t = b.run(std::cout, options);
            totals.rows += t.rows;
            totals.met += t.met;
        }
    }
    if (suite == "capacity") {
        std::cout << "\ncapacity: rows=" << totals.rows << " within=" << totals.met
                  << " over=" << totals.rows - totals.met << '\n';
        return 0;
    }
    std::cout << "\nbench: rows=" << totals.rows << " met=" << totals.met << '\n';
    return 0;
}
