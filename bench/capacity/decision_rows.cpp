#include "bench/capacity/capacity_report.h"
#include "bench/capacity/process_memory.h"
#include "include/admission/admission_controller.h"
#include "include/routing/balancer.h"

#include <fmt/format.h>

#include <ostream>

namespace wagtailhatch::bench {
namespace {

using namespace std::chrono_literals;

constexpr double mib = 1 << 20;
constexpr std::uint64_t requests = 100'000;
constexpr double decision_budget_ns = 2000;

void routing(capacity_report& report, std::uint64_t seed)
{
    std::vector<point> ns;
    std::vector<point> memory;
    for (const std::size_t targets : {4, 13, 52, 200}) {
        random_source random{seed};
        steady_time now{1h};
        std::vector<member> members(targets);
        for (std::size_t i = 0; i < targets; ++i) {
            members[i].id = fmt::format("instance-{}", i);
            members[i].data_centre = fmt::format("dc-{}", i % 4);
            members[i].state = member_state::ready;
        }
        const auto before = heap_bytes();
        balancer router{{.data_centre = "dc-0"}, random};
        router.set_members(members);
        memory.push_back({static_cast<double>(targets), (heap_bytes() - before) / mib});
        const auto start = process_cpu_us();
        for (std::uint64_t i = 0; i < requests; ++i) {
            now += 3ms;
            const auto pick = router.pick(now);
            router.on_sent(pick.target->id, now);
            router.on_answer(pick.target->id, {}, {"route", 0, call_result::answered}, now);
        }
        ns.push_back({static_cast<double>(targets),
                      (process_cpu_us() - start) * 1000 / static_cast<double>(requests)});
    }
    report.fitted({"routing.processor", "targets of the service", "ns a request"}, ns, two_year::group,
                  decision_budget_ns);
    report.fitted({"routing.memory", "targets, also over several services", "MiB"}, memory,
                  23 * two_year::group, two_year::budget_mib);
    report.fitted({"routing.memory-all-services", "targets, also over several services", "MiB"}, memory,
                  two_year::nodes, two_year::budget_mib);
}

void admission(capacity_report& report)
{
    std::vector<point> ns;
    std::vector<point> memory;
    for (const std::size_t workspaces : {8, 100, 500, 2000}) {
        steady_time now{1h};
        const auto before = heap_bytes();
        admission_options options;
        options.limit = limit_options_for_slots(100);
        admission_controller controller{options};
        std::vector<std::string> names;
        for (std::size_t i = 0; i < workspaces; ++i) {
            names.push_back(fmt::format("workspace-{}", i));
            controller.set_weight(names.back(), 1);
        }
        controller.set_target_state(target_state::ready, now);
        memory.push_back({static_cast<double>(workspaces), (heap_bytes() - before) / mib});
        double start = 0;
        for (std::uint64_t id = 0; id < 2 * requests; ++id) {
            if (id == requests) {
                start = process_cpu_us(); // The first half warms the caches up.
            }
            now += 3ms;
            const auto d = controller.submit({id, importance::normal, names[id % workspaces], now + 1s}, now);
            (void)controller.poll(now);
            if (d.what == admission_decision::kind::start) {
                controller.finish(id, 20ms, true, now);
                (void)controller.poll(now);
            }
        }
        ns.push_back({static_cast<double>(workspaces),
                      (process_cpu_us() - start) * 1000 / static_cast<double>(requests)});
    }
    const std::string unit = "workspaces";
    report.fitted({"admission.processor", unit, "ns a request without a queue"}, ns, two_year::workspaces,
                  decision_budget_ns);
    report.fitted({"admission.memory", unit, "MiB"}, memory, two_year::workspaces, two_year::budget_mib);
    report.value("admission.processor-per-second",
                 capacity_report::figure("admission.processor").value_or(0) * two_year::calls_per_node / 1000,
                 "us/s", two_year::budget_cpu_us, "admission.processor at 323 calls/s");
}

bench_totals run(std::ostream& out, const bench_options& options)
{
    capacity_report report{out};
    admission(report);
    routing(report, options.seed);
    report.elsewhere("call.added-latency", "ms at p99", 0.6, "tools/demo");
    return report.totals();
}

const registration decision_rows{"4 admission and routing", "capacity", run};

} // namespace
} // namespace wagtailhatch::bench
