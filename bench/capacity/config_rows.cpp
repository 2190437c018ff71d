#include "bench/capacity/capacity_report.h"
#include "bench/capacity/config_fleet.h"
#include "bench/capacity/process_memory.h"
#include "include/config/config_documents.h"

#include <algorithm>
#include <cmath>
#include <ostream>

namespace wagtailhatch::bench {
namespace {

using namespace std::chrono_literals;

constexpr double mib = 1 << 20;

void bytes_against_changes(capacity_report& report, std::uint64_t seed)
{
    std::vector<point> bytes;
    for (const double rate : {0.0, 0.2, 0.5, 1.0, 2.0}) {
        config_fleet fleet{60, 4, seed};
        fleet.reset_counts();
        constexpr int seconds = 30;
        double due = 0;
        const auto start = fleet.now();
        for (int s = 0; s < seconds * 10; ++s) {
            for (due += rate / 10; due >= 1; due -= 1) {
                fleet.accept();
            }
            fleet.run_for(100ms);
        }
        bytes.push_back({rate, fleet.bytes() / (60.0 * (fleet.now() - start))});
    }
    report.fitted({"config.bytes", "changes/s", "B/s sent and received"}, bytes, two_year::changes,
                  two_year::budget_bytes);
    report.fitted({"config.bytes-burst", "changes/s", "B/s sent and received"}, bytes,
                  two_year::burst_changes, two_year::budget_bytes);
}

void spread_against_nodes(capacity_report& report, std::uint64_t seed)
{
    std::vector<point> mean_seconds;
    std::vector<point> worst_seconds;
    std::vector<point> idle_bytes;
    // With fewer nodes a data centre has fewer peers than a node wants to compare with.
    for (const std::size_t nodes : {30, 100, 300, 600}) {
        config_fleet fleet{nodes, 5, seed};
        fleet.reset_counts();
        fleet.run_for(10s);
        const auto x = std::log2(static_cast<double>(nodes));
        idle_bytes.push_back({static_cast<double>(nodes), fleet.bytes() / (static_cast<double>(nodes) * 10)});
        double sum = 0;
        double worst = 0;
        constexpr int changes = 8;
        for (int i = 0; i < changes; ++i) {
            fleet.run_for(1700ms);
            fleet.accept();
            const double s = fleet.seconds_to_reach_all();
            sum += s;
            worst = std::max(worst, s);
        }
        mean_seconds.push_back({x, sum / changes});
        worst_seconds.push_back({x, worst});
    }
    const auto x = std::log2(two_year::nodes);
    report.fitted({"config.spread-mean", "log2(nodes)", "simulated s, also rounds of 1 s"}, mean_seconds, x,
                  two_year::budget_spread_s);
    report.fitted({"config.spread-worst-of-8", "log2(nodes)", "simulated s, also rounds of 1 s"},
                  worst_seconds, x, two_year::budget_spread_s);
    report.fitted({"config.bytes-idle", "nodes", "B/s sent and received"}, idle_bytes, two_year::nodes,
                  two_year::budget_bytes);
}

void platform_load(capacity_report& report, std::uint64_t seed)
{
    std::vector<point> reads;
    double writes = 0;
    for (const std::size_t data_centres : {1, 2, 4, 8}) {
        config_fleet fleet{data_centres * 6, data_centres, seed};
        fleet.reset_counts();
        fleet.run_for(20s);
        reads.push_back({static_cast<double>(data_centres), fleet.platform_reads() / 20});
        fleet.accept();
        writes = fleet.accept_writes();
    }
    report.fitted({"config.platform-reads", "data centres", "reads/s"}, reads, two_year::data_centres,
                  two_year::budget_reads);
    report.value("config.platform-writes", writes * two_year::changes, "writes/s", two_year::budget_writes,
                 "table and object writes of one measured accept at 0.405 changes/s");
    report.value("config.platform-writes-burst", writes * two_year::burst_changes, "writes/s",
                 two_year::budget_writes, "the same at 20 changes/s");
}

struct document_cost {
    double kib = 0;
    double apply_us = 0;
    double held_mib = 0; ///< Text and configuration.
    double peak_mib = 0; ///< While it is parsed, above what was resident before.
};

document_cost apply_cost(std::size_t services, std::size_t workspaces)
{
    document_cost cost;
    const auto before = heap_bytes();
    const document_set documents{{"base", capacity_base(services, workspaces, 25, 1)}};
    cost.kib = static_cast<double>(documents.at("base").size()) / 1024;
    reset_peak();
    const auto resident = status_kib("self", "VmRSS");
    const auto start = process_cpu_us();
    const auto loaded = load_configuration(documents, "dc-0", 1);
    cost.apply_us = process_cpu_us() - start;
    cost.peak_mib = (status_kib("self", "VmHWM") - resident) / 1024;
    cost.held_mib = loaded ? (heap_bytes() - before) / mib : 0;
    return cost;
}

void documents(capacity_report& report)
{
    std::vector<point> kib;
    std::vector<point> held;
    std::vector<point> held_services;
    std::vector<point> peak;
    std::vector<point> apply;
    for (const std::size_t workspaces : {100, 500, 1000, 2000}) {
        const auto c = apply_cost(1000, workspaces);
        const auto x = static_cast<double>(workspaces);
        kib.push_back({x, c.kib});
        held.push_back({x, c.held_mib});
        peak.push_back({c.kib, c.peak_mib});
        apply.push_back({c.kib, c.apply_us});
    }
    for (const std::size_t services : {50, 200, 500, 1000}) {
        held_services.push_back({static_cast<double>(services), apply_cost(services, 500).held_mib});
    }
    const std::string with_services = "workspaces, with 1,000 services";
    const auto size =
        report.fitted({"config.document-size", with_services, "KiB"}, kib, two_year::workspaces, 4096);
    const double full = size.at(two_year::workspaces);
    report.fitted({"config.memory-workspaces", with_services, "MiB held"}, held, two_year::workspaces,
                  two_year::budget_mib);
    report.fitted({"config.memory-services", "services, with 500 workspaces", "MiB held"}, held_services,
                  two_year::services, two_year::budget_mib);
    report.fitted({"config.memory-parsing", "KiB of base file", "MiB above what was resident"}, peak, full,
                  two_year::budget_mib);
    // One change each 1/0.405 s may use what the budget of a core gives for that time.
    const auto line = report.fitted({"config.apply", "KiB of base file", "us a change"}, apply, full,
                                    two_year::budget_cpu_us / two_year::changes);
    report.value("config.apply-per-second", line.at(full) * two_year::changes, "us/s",
                 two_year::budget_cpu_us,
                 "config.apply extrapolated, at 0.405 changes/s, each parsed by every node");
    report.value("config.bytes-whole-document", full * 1024, "B for a starting node",
                 two_year::budget_bytes * 60,
                 "config.document-size extrapolated; budget is one minute at 11 KB/s");
}

bench_totals run(std::ostream& out, const bench_options& options)
{
    capacity_report report{out};
    documents(report);
    bytes_against_changes(report, options.seed);
    spread_against_nodes(report, options.seed);
    platform_load(report, options.seed);
    return report.totals();
}

const registration config_rows{"2 configuration", "capacity", run};

} // namespace
} // namespace wagtailhatch::bench
