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
    unsigned threads = 4; ///< Independent simulations at once; results do not depend on it.
};

/// Rows that were measured against a stated target.
struct bench_totals {
    int rows = 0;
    int met = 0;
};

struct benchmark {
    std::string name;
    std::string suite; ///< "policy" or "capacity".
    std::function<bench_totals(std::ostream&, const bench_options&)> run;
};

/// All benchmarks in order of registration.
std::vector<benchmark>& benchmarks();

/// Define one at namespace scope in a benchmark's file to register it.
struct registration {
    registration(std::string name, std::string suite,
                 std::function<bench_totals(std::ostream&, const bench_options&)> run);
};

} // namespace wagtailhatch::bench
