#include "bench/registry.h"

#include <utility>

namespace wagtailhatch::bench {

std::vector<benchmark>& benchmarks()
{
    static std::vector<benchmark> all;
    return all;
}

registration::registration(std::string name, std::string suite,
                           std::function<bench_totals(std::ostream&, const bench_options&)> run)
{
    benchmarks().push_back({std::move(name), std::move(suite), std::move(run)});
}

} // namespace wagtailhatch::bench
