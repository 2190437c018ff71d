#include "bench/policy/simulation.h"
#include "bench/registry.h"

#include <fmt/format.h>

#include <cstdlib>
#include <ostream>

namespace wagtailhatch::bench {
namespace {

bench_totals debug_run(std::ostream& out, const bench_options& options)
{
    for (const auto& d : {wrapline(), lavakorpi()}) {
        for (int t = 0; t <= static_cast<int>(trigger::crashing_request); ++t) {
            auto vs = ablations();
            vs.insert(vs.begin(), {no_control(), fixed_limit(), product()});
            if (std::getenv("T") && std::atoi(std::getenv("T")) != t)
                continue;
            for (const auto& v : vs) {
                if (std::getenv("V") && v.name.find(std::getenv("V")) == std::string::npos)
                    continue;
                scenario sc;
                sc.what = static_cast<trigger>(t);
                const auto r = simulate(d, sc, v, options.seed);
                tally all;
                for (const auto& b : r.buckets) {
                    all.sent += b.sent;
                    all.whole += b.whole;
                }
                double worst = 1;
                for (std::size_t w = 0; w < r.by_workspace.size(); ++w) {
                    worst = std::min(worst, w == 2 ? 1.0
                                                   : double(r.by_workspace[w].whole) /
                                                         std::max(1U, r.by_workspace[w].sent));
                }
                out << fmt::format("{:10} {:16} {:28} whole {:.3f} goodput {:6.0f} of {:6.0f} rec {:.2f} "
                                   "crit {:.4f} worst ws {:.3f} att {:.2f} runs {:.2f} deaths {}\n",
                                   d.name, to_string(sc.what), v.name, double(all.whole) / all.sent,
                                   r.goodput, d.bottleneck_capacity, recovery_time(r, sc),
                                   double(r.by_level[0].whole) / std::max(1U, r.by_level[0].sent), worst,
                                   r.bottleneck_sent / r.bottleneck_requests,
                                   r.bottleneck_runs / r.bottleneck_requests, r.deaths);
                out.flush();
            }
        }
    }
    return {};
}

const registration debug{"debug", "debug", debug_run};

} // namespace
} // namespace wagtailhatch::bench
