#include "bench/capacity/capacity_report.h"
#include "bench/capacity/process_memory.h"
#include "bench/capacity/slot_fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <ostream>

namespace wagtailhatch::bench {
namespace {

using namespace std::chrono_literals;

constexpr double mib = 1 << 20;
constexpr std::size_t nodes = 12;
constexpr std::size_t busy_workspaces = 100;

/// A mint without a limit and without a network.
class open_mint final : public mint_client {
public:
    void ask(const std::string&, const std::string&, std::uint32_t need, std::uint32_t wish,
             std::function<void(const mint_answer&)> done) override
    {
        done({.reachable = true,
              .epoch = 1,
              .grant = ++grants_,
              .amount = need + wish,
              .left = 1e6,
              .burst = 1e6});
    }
    void settle(const std::string&, const std::string&, std::uint64_t, std::uint64_t, std::uint32_t,
                std::uint32_t) override
    {
    }

private:
    std::uint64_t grants_ = 0;
};

void tokens(capacity_report& report, std::uint64_t seed)
{
    std::vector<point> bytes;
    std::vector<point> messages;
    std::vector<point> cpu;
    for (const double rate : {1.0, 5.0, 14.0, 50.0}) {
        slot_fleet fleet{nodes, 8, busy_workspaces, seed};
        fleet.reset_counts();
        const auto start = process_cpu_us();
        fleet.run(20, rate * nodes, 0);
        const auto node_seconds = 20.0 * nodes;
        cpu.push_back({rate, (process_cpu_us() - start) / node_seconds});
        // Each message is sent by one node and received by another.
        bytes.push_back({rate, 2 * static_cast<double>(fleet.all().bytes) / node_seconds});
        messages.push_back({rate, 2 * static_cast<double>(fleet.all().messages) / node_seconds});
    }
    const std::string entries = "requests/s that enter at a node, 100 workspaces";
    report.fitted({"quota.messages", entries, "messages/s sent and received"}, messages,
                  two_year::entries_per_node, no_budget);
    report.fitted({"quota.bytes", entries, "B/s sent and received"}, bytes, two_year::entries_per_node,
                  two_year::budget_bytes);
    report.fitted({"quota.bytes-every-call-an-entry", entries, "B/s sent and received"}, bytes,
                  two_year::calls_per_node, two_year::budget_bytes);
    report.fitted({"quota.processor", entries, "us/s without sockets"}, cpu, two_year::entries_per_node,
                  two_year::budget_cpu_us);
}

void wallets(capacity_report& report)
{
    std::vector<point> memory;
    std::vector<point> ns;
    for (const std::size_t workspaces : {100, 500, 1000, 2000}) {
        std::vector<std::string> names;
        for (std::size_t i = 0; i < workspaces; ++i) {
            names.push_back(fmt::format("workspace-{}", i));
        }
        manual_clock time;
        open_mint mints;
        const auto before = heap_bytes();
        token_wallet wallet{{.data_centre = "dc-0", .data_centres = {"dc-0"}}, mints, time};
        for (const auto& name : names) {
            wallet.take(name, [](const take_result&) {});
        }
        memory.push_back({static_cast<double>(workspaces), (heap_bytes() - before) / mib});
        constexpr int takes = 200'000;
        const auto start = process_cpu_us();
        for (std::size_t i = 0; i < takes; ++i) {
            wallet.take(names[i * 7919 % workspaces], [](const take_result&) {});
            if (i % 1000 == 0) {
                time.advance(20ms);
                wallet.tick();
            }
        }
        ns.push_back({static_cast<double>(workspaces), (process_cpu_us() - start) * 1000 / takes});
    }
    report.fitted({"quota.wallet-memory", "workspaces in use at a node", "MiB"}, memory, two_year::workspaces,
                  two_year::budget_mib);
    report.fitted({"quota.take", "workspaces in use at a node", "ns a take"}, ns, two_year::workspaces, 2000);
    std::vector<point> mint_memory;
    for (const std::size_t workspaces : {100, 500, 1000, 2000}) {
        const auto before = heap_bytes();
        std::map<std::string, token_mint> mints;
        for (std::size_t i = 0; i < workspaces; ++i) {
            auto& mint = mints.emplace(fmt::format("workspace-{}", i), token_mint{100, 1000, steady_time{1h}})
                             .first->second;
            for (int g = 0; g < 8; ++g) {
                mint.answered(mint.reserve(1, 8, steady_time{1h}).id, steady_time{1h});
            }
        }
        mint_memory.push_back({static_cast<double>(workspaces), (heap_bytes() - before) / mib});
    }
    report.fitted({"quota.mint-memory", "workspaces of a slot, 8 grants out each", "MiB"}, mint_memory,
                  two_year::workspaces / 64, two_year::budget_mib);
}

void table_writes(capacity_report& report, std::uint64_t seed)
{
    std::vector<point> writes;
    std::vector<point> idle;
    for (const std::uint32_t slots : {1, 4, 8, 16}) {
        slot_fleet fleet{nodes, slots, 4, seed};
        fleet.reset_counts();
        fleet.run(20, 0, 0);
        // Slots a node has a part in: an owner and a partner each.
        const double parts = 2.0 * slots / nodes;
        idle.push_back({parts, 2 * static_cast<double>(fleet.all().bytes) / (20.0 * nodes)});
        fleet.reset_counts();
        for (std::size_t i = 0; i < nodes; ++i) {
            fleet.restart(i);
        }
        writes.push_back({parts, static_cast<double>(fleet.table_writes()) / nodes});
    }
    const double parts = 2 * two_year::slots / two_year::nodes;
    const std::string unit = "slot parts of a node";
    report.fitted({"slots.bytes-idle", unit, "B/s sent and received"}, idle, parts, two_year::budget_bytes);
    const auto line = report.fitted({"slots.writes-per-restart", unit, "table writes tried a restart"},
                                    writes, parts, no_budget);
    report.value("slots.writes-per-day", std::max(0.0, line.at(parts)) * two_year::restarts, "writes/day",
                 two_year::budget_writes * 86'400, "slots.writes-per-restart at 2,000 restarts a day");
    const double rack = 40 * std::max(0.0, line.at(parts));
    report.value("slots.writes-lost-rack", rack, "writes", two_year::budget_writes * 10,
                 "slots.writes-per-restart, assumed 40 nodes at once; budget is 10 s of the platform");
}

void claims(capacity_report& report)
{
    std::vector<point> memory;
    std::vector<point> ns;
    std::vector<point> copied;
    for (const std::size_t count : {2000, 5000, 10'000, 20'000}) {
        manual_clock time;
        std::uint64_t bytes = 0;
        const auto before = heap_bytes();
        run_once_home home{{}, time, [&](const std::string& record, const std::function<void(bool)>& done) {
                               bytes += record.size();
                               if (done) {
                                   done(true);
                               }
                           }};
        const auto start = process_cpu_us();
        for (std::size_t i = 0; i < count; ++i) {
            const auto key = fmt::format("workspace-1/order-key-{:026}", i);
            home.begin(key, true, true, time.now() + 5s, [](claim_verdict, const std::string&) {});
            home.finished(key, std::string(500, 'a'));
        }
        const auto x = static_cast<double>(count);
        ns.push_back({x, (process_cpu_us() - start) * 1000 / x});
        memory.push_back({x, (heap_bytes() - before) / mib});
        copied.push_back({x, static_cast<double>(bytes) / 1024});
    }
    const double a_day = 4200.0 * 86'400 / two_year::slots;
    const std::string unit = "claims with answers of 500 bytes";
    report.value("run-once.claims-a-slot-a-day", a_day, "claims", 200'000,
                 "4,200 orders/s over 1,600 slots; budget is most_claims of a slot");
    const auto m = report.fitted({"run-once.memory-a-day", unit, "MiB"}, memory, a_day, two_year::budget_mib);
    const double hour = a_day / 24;
    report.value("run-once.memory-an-hour", m.at(hour), "MiB", two_year::budget_mib,
                 fmt::format("run-once.memory-a-day at run_once_memory of 1 h, {:.0f} claims", hour));
    report.fitted({"run-once.processor", unit, "ns a claim and outcome"}, ns, hour, no_budget);
    const auto c = fit_line(copied);
    report.value("run-once.bytes-to-partner", c.slope * 1024 * 4200 / two_year::slots, "B/s",
                 two_year::budget_bytes,
                 fmt::format("record bytes, {:.0f} an order, at 2.6 orders/s a slot, without envelopes",
                             c.slope * 1024));
}

void orders(capacity_report& report, std::uint64_t seed)
{
    std::vector<point> bytes;
    for (const double rate : {0.25, 1.0, 2.0, 4.0}) {
        slot_fleet fleet{nodes, 8, 8, seed};
        fleet.reset_counts();
        fleet.run(20, 0, rate * nodes);
        bytes.push_back({rate, 2 * static_cast<double>(fleet.slot_channel().bytes) / (20.0 * nodes)});
    }
    report.fitted({"run-once.pair-bytes", "orders/s for each node", "B/s between owner and partner"}, bytes,
                  4200 / two_year::nodes, two_year::budget_bytes);
    const double slot_rate = 4200 / two_year::slots;
    report.fitted(
        {"run-once.pair-bytes-owner-and-partner", "orders/s for each node", "B/s between owner and partner"},
        bytes, slot_rate, two_year::budget_bytes);
}

bench_totals run(std::ostream& out, const bench_options& options)
{
    capacity_report report{out};
    tokens(report, options.seed);
    wallets(report);
    table_writes(report, options.seed);
    claims(report);
    orders(report, options.seed);
    return report.totals();
}

const registration slot_rows{"3 quota, slots and run-once", "capacity", run};

} // namespace
} // namespace wagtailhatch::bench
