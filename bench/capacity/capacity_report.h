#pragma once

#include "bench/registry.h"

#include <iosfwd>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailhatch::bench {

/// The two-year size (section 1.6 of the design) and the budgets of a node.
constexpr double no_budget = 0;

namespace two_year {
constexpr double nodes = 13'000;
constexpr double services = 1'000;
constexpr double group = 13;
constexpr double data_centres = 25;
constexpr double calls_per_node = 323;        ///< A second.
constexpr double entries_per_node = 14;       ///< A second, if every chain is 23 deep.
constexpr double changes = 35'000 / 86'400.0; ///< A second.
constexpr double burst_changes = 20;          ///< A second.
constexpr double restarts = 2'000;            ///< A day.
constexpr double slots = 25 * 64;
constexpr double workspaces = 5'000;     ///< Assumed: the size is stated as thousands.
constexpr double budget_bytes = 11'000;  ///< A second.
constexpr double budget_cpu_us = 10'000; ///< A second: 1% of a core.
constexpr double budget_mib = 32;
constexpr double budget_spread_s = 15;
constexpr double budget_reads = 2'000; ///< Platform, a second.
constexpr double budget_writes = 300;  ///< Platform, a second; "several hundred".
} // namespace two_year

struct point {
    double x = 0;
    double y = 0;
};

struct line_fit {
    double slope = 0;
    double intercept = 0;
    double rms_error = 0; ///< In units of y.

    double at(double x) const { return intercept + slope * x; }
};

/// Least squares. Requires two different x.
line_fit fit_line(const std::vector<point>& points);

/// Name and units of a row.
struct row_label {
    std::string name;
    std::string x_unit;
    std::string y_unit;
};

/// Processor time of this process, in microseconds.
double process_cpu_us();

/// Prints rows and counts those that were compared with a budget.
class capacity_report {
public:
    explicit capacity_report(std::ostream& out)
        : out_{out}
    {
    }

    /// Fits the points and compares the line at two_year_x with the budget. A row without one is not counted.
    line_fit fitted(const row_label& label, const std::vector<point>& points, double two_year_x,
                    double budget);

    /// Compares a value that follows from other rows or was measured at its full size.
    void value(std::string_view name, double v, std::string_view unit, double budget, std::string_view basis);

    /// A row that another tool measures; it is not counted.
    void elsewhere(std::string_view name, std::string_view unit, double budget, std::string_view tool);

    bench_totals totals() const { return totals_; }

    /// Figure at the two-year size of a row of this run, of any benchmark; nothing if the row was not run.
    static std::optional<double> figure(const std::string& name);

private:
    std::string verdict(double v, double budget);

    std::ostream& out_;
    bench_totals totals_;
};

} // namespace wagtailhatch::bench
