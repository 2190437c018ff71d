#include "bench/capacity/capacity_report.h"

#include <fmt/format.h>

#include <ostream>

namespace wagtailhatch::bench {
namespace {

/// Arithmetic on measured rows for the platform's rows and for the links between data centres.
bench_totals run(std::ostream& out, const bench_options&)
{
    capacity_report report{out};
    constexpr double nodes_of_data_centre = two_year::nodes / two_year::data_centres;
    report.value("platform.instance-writes", 2 * two_year::restarts / 86'400, "writes/s",
                 two_year::budget_writes,
                 "computed: one at the start and one on leaving, 2,000 restarts a day");
    report.value("platform.instance-writes-lost-data-centre", nodes_of_data_centre, "writes",
                 two_year::budget_writes * 10,
                 "computed: 520 nodes start at once; budget is 10 s of the platform");
    report.value("platform.instance-reads", 6 * two_year::restarts / 86'400, "lists/s",
                 two_year::budget_reads,
                 "computed: own group and 5 followed ones, once for each of 2,000 restarts a day");
    const auto kib = capacity_report::figure("config.document-size");
    const auto bytes = capacity_report::figure("config.bytes");
    if (!kib || !bytes) {
        out << "rows of objects and links: not computed, the configuration rows were not run\n";
        return report.totals();
    }
    report.value("platform.object-bytes-written", *kib / 1024 * 35'000 / 1024, "GiB a day", no_budget,
                 "config.document-size for each of 35,000 changes that touch the base file");
    report.value("platform.object-bytes-read", *kib / 1024 * two_year::changes * 2 * two_year::data_centres,
                 "MiB/s", no_budget, "config.document-size, read by 2 readers of each of 25 data centres");
    report.value("links.config-bytes", *bytes / 3 * nodes_of_data_centre / 1024, "KiB/s for each data centre",
                 no_budget, "a third of config.bytes (1 of 3 compared peers is elsewhere) for 520 nodes");
    return report.totals();
}

const registration platform_rows{"7 platform and links", "capacity", run};

} // namespace
} // namespace wagtailhatch::bench
