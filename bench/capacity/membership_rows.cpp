#include "bench/capacity/capacity_report.h"
#include "bench/membership/membership_scaling.h"

#include <ostream>

namespace wagtailhatch::bench {
namespace {

bench_totals run(std::ostream& out, const bench_options&)
{
    capacity_report report{out};
    std::vector<point> bytes;
    std::vector<point> messages;
    std::vector<point> cpu;
    std::vector<point> churn;
    std::vector<point> death;
    for (const std::size_t size : {8, 13, 26, 52, 104}) {
        const auto m = measure_group(size);
        const auto x = static_cast<double>(size);
        messages.push_back({x, m.idle.messages});
        bytes.push_back({x, m.idle.bytes});
        cpu.push_back({x, m.idle.cpu_us});
        churn.push_back({x, m.restarts.bytes});
        death.push_back({x, static_cast<double>(m.death_s)});
    }
    const std::string members = "members in the group";
    report.fitted({"membership.group.messages", members, "messages/s sent"}, messages, two_year::group,
                  no_budget);
    report.fitted({"membership.group.bytes", members, "B/s sent"}, bytes, two_year::group,
                  two_year::budget_bytes);
    report.fitted({"membership.group.bytes-with-restarts", members, "B/s sent"}, churn, two_year::group,
                  two_year::budget_bytes);
    report.fitted({"membership.group.processor", members, "us/s"}, cpu, two_year::group,
                  two_year::budget_cpu_us);
    report.fitted({"membership.group.death-agreed", members, "s"}, death, two_year::group,
                  two_year::budget_spread_s);
    std::vector<point> followed;
    std::vector<point> followed_cpu;
    for (const std::size_t groups : {1, 5, 10, 22, 44}) {
        const auto m = measure_followed(groups);
        followed.push_back({static_cast<double>(groups), m.bytes});
        followed_cpu.push_back({static_cast<double>(groups), m.cpu_us});
    }
    const std::string groups = "followed groups";
    report.fitted({"membership.followed.bytes-5-groups", groups, "B/s both ways"}, followed, 5,
                  two_year::budget_bytes);
    report.fitted({"membership.followed.bytes", groups, "B/s both ways"}, followed, 22,
                  two_year::budget_bytes);
    report.fitted({"membership.followed.processor", groups, "us/s"}, followed_cpu, 22,
                  two_year::budget_cpu_us);
    report.fitted({"membership.followed.bytes-all-services", groups, "B/s both ways"}, followed,
                  two_year::services, two_year::budget_bytes);
    std::vector<point> memory;
    for (const std::size_t count : {500, 1000, 2000, 4000}) {
        memory.push_back({static_cast<double>(count), measure_member_bytes(count) / (1 << 20)});
    }
    report.fitted({"membership.memory", "known members", "MiB"}, memory, 23 * two_year::group,
                  two_year::budget_mib);
    report.fitted({"membership.memory-all-services", "known members", "MiB"}, memory, two_year::nodes,
                  two_year::budget_mib);
    return report.totals();
}

const registration membership_rows{"1 membership", "capacity", run};

} // namespace
} // namespace wagtailhatch::bench
