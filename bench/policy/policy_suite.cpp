#include "bench/policy/job_runner.h"
#include "bench/registry.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <ostream>
#include <string>

namespace wagtailhatch::bench {
namespace {

constexpr int recovery_seeds = 20;
constexpr int quick_recovery_seeds = 5;

double success_ratio(const tally& t)
{
    return t.sent == 0 ? 1.0 : static_cast<double>(t.succeeded) / t.sent;
}

/// Lowest success ratio of the workspaces that stayed within their rate.
double worst_workspace_success_ratio(const outcome_counts& c)
{
    double worst = 1;
    for (std::size_t w = 0; w < c.by_workspace.size(); ++w) {
        worst = w == flooding_workspace ? worst : std::min(worst, success_ratio(c.by_workspace[w]));
    }
    return worst;
}

double refused_fraction(const outcome_counts& c)
{
    double refused = 0;
    double sent = 0;
    for (std::size_t w = 0; w < c.by_workspace.size(); ++w) {
        refused += w == flooding_workspace ? 0 : c.by_workspace[w].refused;
        sent += w == flooding_workspace ? 0 : c.by_workspace[w].sent;
    }
    return refused / std::max(1.0, sent);
}

double critical_success_ratio(const outcome_counts& c)
{
    return success_ratio(c.by_level.front());
}

double attempts_per_request(const outcome_counts& c)
{
    return c.bottleneck_sent / std::max(1.0, c.bottleneck_requests);
}

/// Runs all simulations of the policy benchmark and reports their results as rows.
class policy_bench {
public:
    policy_bench(std::ostream& out, const bench_options& options)
        : out_{out}
        , options_{options}
        , deployments_{wrapline(), lavakorpi(), chain_of_five()}
    {
    }

    bench_totals run()
    {
        plan_jobs();
        run_jobs(jobs_, options_.threads);
        report_measures();
        report_variants();
        return totals_;
    }

private:
    scenario make_scenario(trigger trigger_kind) const
    {
        scenario s;
        s.trigger_kind = trigger_kind;
        s.duration =
            options_.quick
                ? 4
                : (trigger_kind == trigger::slow_bottleneck || trigger_kind == trigger::slow_and_surge ? 20
                                                                                                       : 8);
        return s;
    }

    void add(const sim_deployment& d, trigger trigger_kind, const variant& v, int seeds)
    {
        for (int i = 0; i < seeds; ++i) {
            jobs_.push_back(
                {&d, make_scenario(trigger_kind), v, options_.seed + static_cast<std::uint64_t>(i), {}});
        }
    }

    void plan_jobs()
    {
        const int few = options_.quick ? 1 : 5;
        const int many = options_.quick ? quick_recovery_seeds : recovery_seeds;
        std::vector<variant> compared_variants{no_control(), fixed_connections(), fixed_limit()};
        const auto ablated_variants = ablations();
        compared_variants.insert(compared_variants.end(), ablated_variants.begin(), ablated_variants.end());
        for (const auto& d : deployments_) {
            const bool chain = &d == &deployments_.back();
            for (const auto trigger_kind : recovery_triggers) {
                add(d, trigger_kind, product(), chain ? few : many);
            }
            add(d, trigger::none, product(), few);
            add(d, trigger::crashing_request, product(), many);
            for (const auto& v : compared_variants) {
                for (const auto trigger_kind : variant_triggers) {
                    const bool skipped_in_quick_mode =
                        options_.quick &&
                        (trigger_kind == trigger::surge_noncritical || trigger_kind == trigger::flood);
                    if (!skipped_in_quick_mode && (!chain || trigger_kind == trigger::slow_and_surge)) {
                        add(d, trigger_kind, v, few);
                    }
                }
            }
        }
    }

    using metric = std::function<double(const job&)>;

    std::vector<double> collect(const std::string& deployment, trigger trigger_kind,
                                const std::string& policy, const metric& f) const
    {
        std::vector<double> values;
        for (const auto& j : jobs_) {
            if (j.deployment->name == deployment && j.spec.trigger_kind == trigger_kind &&
                j.policy.name == policy) {
                values.push_back(f(j));
            }
        }
        return values;
    }

    double mean(const std::string& d, trigger trigger_kind, const std::string& policy, const metric& f) const
    {
        const auto values = collect(d, trigger_kind, policy, f);
        double sum = 0;
        for (const auto v : values) {
            sum += v;
        }
        return values.empty() ? 0 : sum / static_cast<double>(values.size());
    }

    double worst(const std::string& d, trigger trigger_kind, const metric& f, bool high_is_bad) const
    {
        const auto values = collect(d, trigger_kind, "product", f);
        const auto [low, high] = std::minmax_element(values.begin(), values.end());
        return high_is_bad ? *high : *low;
    }

    void row(const std::string& d, const std::string& measure, double value, const std::string& target,
             bool met)
    {
        ++totals_.rows;
        totals_.met += met ? 1 : 0;
        out_ << fmt::format("{:10}  {:66} {:>9.4f}  {:>8}  {}\n", d, measure, value, target,
                            met ? "met" : "NOT MET");
    }

    void at_least(const std::string& d, const std::string& measure, double value, double target)
    {
        row(d, measure, value, fmt::format(">= {}", target), value >= target);
    }

    void at_most(const std::string& d, const std::string& measure, double value, double target)
    {
        row(d, measure, value, fmt::format("<= {}", target), value <= target);
    }

    void report_measures()
    {
        const auto goodput = [](const job& j) { return j.counts.goodput; };
        for (const auto& d : deployments_) {
            const metric served = [&d](const job& j) { return j.counts.goodput / d.bottleneck_capacity; };
            at_least(d.name, "goodput at 3x, part of the slowest service's capacity, worst seed",
                     worst(d.name, trigger::surge, served, false), 0.95);
            for (const auto* baseline : {&fixed_connections_name_, &fixed_limit_name_}) {
                const double base = mean(d.name, trigger::slow_and_surge, *baseline, goodput);
                at_least(d.name, "goodput in slow and surge / " + *baseline,
                         mean(d.name, trigger::slow_and_surge, "product", goodput) / std::max(1.0, base), 2);
            }
            for (const auto trigger_kind : recovery_triggers) {
                const auto values = collect(d.name, trigger_kind, "product",
                                            [](const job& j) { return recovery_time(j.counts, j.spec); });
                at_most(d.name,
                        fmt::format("recovery after {}, seconds, worst of {} seeds", to_string(trigger_kind),
                                    values.size()),
                        *std::max_element(values.begin(), values.end()), 2);
            }
            report_fairness(d);
            const auto a = [](const job& j) { return attempts_per_request(j.counts); };
            at_most(d.name, "attempts at the deepest service per request, worst of slow, surge, both",
                    std::max({worst(d.name, trigger::slow_bottleneck, a, true),
                              worst(d.name, trigger::surge, a, true),
                              worst(d.name, trigger::slow_and_surge, a, true)}),
                    1.2);
            at_most(d.name, "targets taken down by one crashing request",
                    worst(
                        d.name, trigger::crashing_request,
                        [](const job& j) { return j.counts.target_crashes; }, true),
                    2);
            at_most(d.name, "sum over rate x time + burst (one exact bucket, not the distributed one)",
                    worst(
                        d.name, trigger::flood, [](const job& j) { return j.counts.rate_excess; }, true),
                    0);
        }
    }

    void report_fairness(const sim_deployment& d)
    {
        const auto refused = [](const job& j) { return refused_fraction(j.counts); };
        at_least(d.name, "critical requests whole in time, 3x of the rest, worst seed",
                 worst(
                     d.name, trigger::surge_noncritical,
                     [](const job& j) { return critical_success_ratio(j.counts); }, false),
                 0.995);
        at_least(d.name, "worst workspace within its rate, workspace 8x, of all it sends",
                 worst(
                     d.name, trigger::flood,
                     [](const job& j) { return worst_workspace_success_ratio(j.counts); }, false),
                 0.95);
        at_most(d.name, "refused within the rate, no trigger", worst(d.name, trigger::none, refused, true),
                0);
        at_most(d.name, "refused within the rate, workspace 8x (one exact bucket for each)",
                worst(d.name, trigger::flood, refused, true), 0.001);
    }

    void report_variants()
    {
        out_ << fmt::format("\n{:10}  {:16} {:44} {:>8} {:>8} {:>9} {:>9} {:>9} {:>9}\n", "deployment",
                            "trigger", "variant", "goodput", "recovery", "critical", "worst ws", "refused",
                            "attempts");
        std::vector<std::string> names{"product", no_control().name, fixed_connections_name_,
                                       fixed_limit_name_};
        for (const auto& v : ablations()) {
            names.push_back(v.name);
        }
        for (const auto& d : deployments_) {
            for (const auto trigger_kind : variant_triggers) {
                for (const auto& name : names) {
                    if (collect(d.name, trigger_kind, name, [](const job&) { return 0.0; }).empty()) {
                        continue;
                    }
                    const auto m = [&](const metric& f) { return mean(d.name, trigger_kind, name, f); };
                    out_ << fmt::format(
                        "{:10}  {:16} {:44} {:8.3f} {:8.2f} {:9.4f} {:9.4f} {:9.4f} {:9.2f}\n", d.name,
                        to_string(trigger_kind), name,
                        m([](const job& j) { return j.counts.goodput / j.deployment->bottleneck_capacity; }),
                        m([](const job& j) { return recovery_time(j.counts, j.spec); }),
                        m([](const job& j) { return critical_success_ratio(j.counts); }),
                        m([](const job& j) { return worst_workspace_success_ratio(j.counts); }),
                        m([](const job& j) { return refused_fraction(j.counts); }),
                        m([](const job& j) { return attempts_per_request(j.counts); }));
                }
            }
        }
    }

    static constexpr std::array recovery_triggers{
        trigger::surge, trigger::surge_noncritical, trigger::slow_bottleneck, trigger::slow_and_surge,
        trigger::flood, trigger::replaced_cold,     trigger::frozen_reports,  trigger::killed};
    static constexpr std::array variant_triggers{trigger::surge_noncritical, trigger::slow_and_surge,
                                                 trigger::flood, trigger::killed};

    std::ostream& out_;
    bench_options options_;
    std::vector<sim_deployment> deployments_;
    std::vector<job> jobs_;
    bench_totals totals_;
    std::string fixed_connections_name_ = fixed_connections().name;
    std::string fixed_limit_name_ = fixed_limit().name;
};

const registration policy{"overload policy", "policy", [](std::ostream& out, const bench_options& options) {
                              return policy_bench{out, options}.run();
                          }};

} // namespace
} // namespace wagtailhatch::bench
