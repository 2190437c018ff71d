#include "include/admission/shed_controller.h"

#include <algorithm>
#include <numeric>

namespace wagtailhatch {
namespace {

// At a lower level no requests would arrive at all, and the end of the overload could not be detected.
constexpr double min_level = 0.1;
// The rate of a window with fewer arrivals is mostly noise, so the window is extended, up to
// max_window_multiple times its length.
constexpr double min_window_arrivals = 20;
constexpr int max_window_multiple = 4;
// For a class with a smaller admitted share, arrivals give no estimate of the demand. Its last estimate
// is multiplied by the second constant every window, so that the class is admitted again for a trial.
constexpr double min_measurable_fraction = 0.02;
constexpr double demand_decay = 0.95;
// With equal shares, every class gets at least this part of the fraction that all classes together get.
constexpr double least_part = 0.25;

} // namespace

shed_controller::shed_controller(shed_controller_options options)
    : options_{options}
{
}

admit_level shed_controller::level(steady_time now, double capacity)
{
    const auto elapsed = now - window_start_;
    const double arrivals = std::accumulate(arrived_.begin(), arrived_.end(), 0.0);
    if (elapsed < options_.window ||
        (arrivals < min_window_arrivals && elapsed < options_.window * max_window_multiple)) {
        return level_;
    }
    estimate(std::chrono::duration<double>(std::min<duration>(elapsed, options_.window * max_window_multiple))
                 .count());
    window_start_ = now;
    wanted_rate_ = capacity * options_.utilization;
    level_ = level_for_rate(wanted_rate_);
    std::rotate(recent_levels_.begin(), recent_levels_.end() - 1, recent_levels_.end());
    recent_levels_.front() = level_;
    return level_;
}

void shed_controller::estimate(double elapsed)
{
    // Senders apply a level some windows late. The highest recent level gives the lowest estimate of the
    // demand, so a wrong delay admits too much, which the queue rejects, rather than too little, which leaves
    // slots idle.
    for (std::size_t c = 0; c < importance_count; ++c) {
        const double fraction = admitted_fraction(static_cast<importance>(c));
        auto& demand = demand_.at(c);
        if (fraction < min_measurable_fraction) {
            demand *= demand_decay;
        }
        else {
            demand += (arrived_.at(c) / elapsed / fraction - demand) * options_.smoothing;
        }
    }
    arrived_ = {};
}

double shed_controller::admitted_fraction(importance i) const
{
    const auto level_class = equal_shares_ ? request_class(i) : i;
    double highest = 0;
    for (const auto& level : recent_levels_) {
        highest = std::max(highest, level.fraction(level_class));
    }
    return highest;
}

void shed_controller::set_equal_shares(bool equal)
{
    if (equal == equal_shares_) {
        return;
    }
    equal_shares_ = equal;
    // Levels of the two kinds cannot be compared.
    level_ = level_for_rate(wanted_rate_);
    recent_levels_.fill(level_);
}

admit_level shed_controller::equal_level_for_rate(double wanted) const
{
    const double total = std::accumulate(demand_.begin(), demand_.end(), 0.0);
    if (total <= wanted) {
        return {};
    }
    const double least_share = least_part * wanted / total;
    double left = wanted - least_share * total;
    for (std::size_t calls = 0; calls < importance_count; calls += 2) {
        const double demand = demand_.at(calls) + demand_.at(calls + 1);
        const double beyond_least = demand * (1 - least_share);
        if (beyond_least > left) {
            const double requests_level = static_cast<double>(calls) + 1;
            return admit_level{std::max(1 + min_level, requests_level + least_share + left / demand),
                               least_share};
        }
        left -= beyond_least;
    }
    return {};
}

admit_level shed_controller::level_for_rate(double wanted) const
{
    if (wanted <= 0) {
        return {};
    }
    if (equal_shares_) {
        return equal_level_for_rate(wanted);
    }
    double level = 0;
    for (const double demand : demand_) {
        if (demand > wanted) {
            return admit_level{std::max(min_level, level + wanted / demand)};
        }
        wanted -= demand;
        level += 1;
    }
    return admit_level{level};
}

} // namespace wagtailhatch
