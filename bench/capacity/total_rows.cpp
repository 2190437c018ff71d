#include "bench/capacity/capacity_report.h"

#include <ostream>

namespace wagtailhatch::bench {
namespace {

struct part {
    const char* row;
    double factor;
};

void total(capacity_report& report, std::ostream& out, const char* name, const std::vector<part>& parts,
           const char* unit, double budget)
{
    double sum = 0;
    std::string basis = "sum of";
    for (const auto& p : parts) {
        const auto v = capacity_report::figure(p.row);
        if (!v) {
            out << "row " << name << "\n  not computed: " << p.row << " was not run\n";
            return;
        }
        sum += *v * p.factor;
        basis += std::string{" "} + p.row + (p.factor == 1 ? "" : " x 2");
    }
    report.value(name, sum, unit, budget, basis);
}

bench_totals run(std::ostream& out, const bench_options&)
{
    capacity_report report{out};
    // The group's row counts what a node sends; it receives as much.
    const std::vector<part> common{
        {"membership.group.bytes-with-restarts", 2}, {"config.bytes", 1}, {"slots.bytes-idle", 1}};
    auto five = common;
    five.push_back({"membership.followed.bytes-5-groups", 1});
    auto many = common;
    many.push_back({"membership.followed.bytes", 1});
    auto with_quota = five;
    with_quota.push_back({"quota.bytes", 1});
    total(report, out, "node.bytes-5-groups", five, "B/s sent and received", two_year::budget_bytes);
    total(report, out, "node.bytes-22-groups", many, "B/s sent and received", two_year::budget_bytes);
    total(report, out, "node.bytes-5-groups-and-quota", with_quota, "B/s sent and received",
          two_year::budget_bytes);
    total(report, out, "node.processor",
          {{"process.processor", 1}, {"membership.followed.processor", 1}, {"config.apply-per-second", 1}},
          "us/s, without requests", two_year::budget_cpu_us);
    total(report, out, "node.memory",
          {{"process.resident", 1},
           {"config.memory-workspaces", 1},
           {"config.memory-parsing", 1},
           {"membership.memory", 1},
           {"quota.wallet-memory", 1},
           {"admission.memory", 1},
           {"routing.memory", 1}},
          "MiB, whole process without claims", two_year::budget_mib);
    return report.totals();
}

const registration total_rows{"6 totals of a node", "capacity", run};

} // namespace
} // namespace wagtailhatch::bench
