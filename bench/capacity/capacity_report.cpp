#include "bench/capacity/capacity_report.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <ctime>
#include <map>
#include <ostream>

namespace wagtailhatch::bench {
namespace {

std::map<std::string, double, std::less<>>& figures()
{
    static std::map<std::string, double, std::less<>> all;
    return all;
}

} // namespace

std::optional<double> capacity_report::figure(const std::string& name)
{
    const auto found = figures().find(name);
    return found == figures().end() ? std::nullopt : std::optional{found->second};
}

line_fit fit_line(const std::vector<point>& points)
{
    const auto n = static_cast<double>(points.size());
    double mean_x = 0;
    double mean_y = 0;
    for (const auto& p : points) {
        mean_x += p.x / n;
        mean_y += p.y / n;
    }
    double xx = 0;
    double xy = 0;
    for (const auto& p : points) {
        xx += (p.x - mean_x) * (p.x - mean_x);
        xy += (p.x - mean_x) * (p.y - mean_y);
    }
    line_fit fit;
    fit.slope = xy / xx;
    fit.intercept = mean_y - fit.slope * mean_x;
    double squares = 0;
    for (const auto& p : points) {
        squares += (p.y - fit.at(p.x)) * (p.y - fit.at(p.x));
    }
    fit.rms_error = std::sqrt(squares / n);
    return fit;
}

double process_cpu_us()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC * 1e6;
}

std::string capacity_report::verdict(double v, double budget)
{
    if (budget == no_budget) {
        return "no budget stated";
    }
    const bool within = v <= budget;
    ++totals_.rows;
    totals_.met += within ? 1 : 0;
    return fmt::format("budget {:g}: {}", budget, within ? "within" : "OVER");
}

line_fit capacity_report::fitted(const row_label& label, const std::vector<point>& points, double two_year_x,
                                 double budget)
{
    const auto fit = fit_line(points);
    out_ << fmt::format("row {} [{} against {}]\n  points:", label.name, label.y_unit, label.x_unit);
    double low = points.front().x;
    double high = low;
    double highest = points.front().y;
    for (const auto& p : points) {
        out_ << fmt::format(" ({:g}, {:.4g})", p.x, p.y);
        low = std::min(low, p.x);
        high = std::max(high, p.x);
        highest = std::max(highest, p.y);
    }
    const bool inside = two_year_x >= low && two_year_x <= high;
    // A cost that seems to fall with size is noise; the line would then promise too little far outside.
    const bool flat = !inside && fit.slope < 0;
    const double v = flat ? highest : fit.at(two_year_x);
    figures()[label.name] = v;
    out_ << fmt::format("\n  fit: slope {:.4g}, intercept {:.4g}, rms error {:.3g}; range {:g} to {:g}\n",
                        fit.slope, fit.intercept, fit.rms_error, low, high);
    out_ << fmt::format("  at {:.4g} {}: {:.4g} {} ({}), {}\n", two_year_x, label.x_unit, v, label.y_unit,
                        inside ? "inside the range"
                               : (flat ? "extrapolated, no growth: highest point" : "extrapolated"),
                        verdict(v, budget));
    out_.flush();
    return fit;
}

void capacity_report::value(std::string_view name, double v, std::string_view unit, double budget,
                            std::string_view basis)
{
    figures()[std::string{name}] = v;
    out_ << fmt::format("row {}\n  value: {:.4g} {} ({}), {}\n", name, v, unit, basis, verdict(v, budget));
    out_.flush();
}

void capacity_report::elsewhere(std::string_view name, std::string_view unit, double budget,
                                std::string_view tool)
{
    out_ << fmt::format("row {}\n  not measured here [{}], budget {:g}; measured by {}\n", name, unit, budget,
                        tool);
}

} // namespace wagtailhatch::bench
