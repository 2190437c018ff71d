#pragma once

#include <cstdint>
#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

namespace wagtailhatch::bench {

struct bench_options {
    bool quick = false;
    std::uint64_t seed = 1;
    unsigned threads = 4; ///< Simulations run in parallel; does not affect the results.
};

/// Number of rows checked against a stated target value, and how many of them met it.
struct bench_totals {
    int rows = 0;
    int met = 0;
};

struct benchmark {
    std::string name;
    std::string suite; ///< "policy" or "capacity".
    std::function<bench_totals(std::ostream&, const bench_options&)> run;
};

/// All registered benchmarks, in registration order.
std::vector<benchmark>& benchmarks();

/// Registers a benchmark; define one at namespace scope in the benchmark's source file.
struct registration {
    registration(std::string name, std::string suite,
                 std::function<bench_totals(std::ostream&, const bench_options&)> run);
};

} // namespace wagtailhatch::bench
