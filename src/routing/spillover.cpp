#include "include/routing/spillover.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace wagtailhatch {
namespace {

// Shares below this are noise of the reports.
constexpr double min_share = 0.01;
// Bound of the share that may leave, so that the own demand can still be told from the own load.
constexpr double max_leaving = 0.98;
// Weight of a full data centre, relative to an idle one, among those that serve a service without own
// targets.
constexpr double full_weight = 0.02;
// The smoothing covers this many service times: an earlier effect of a change is not visible.
constexpr double smoothing_service_times = 3;

/// Returns the utilisation to which these data centres fill up if demand is distributed to the least utilised
/// ones first.
double fill_level(std::vector<data_centre_load> loads, double demand)
{
    std::sort(loads.begin(), loads.end(), [](const data_centre_load& a, const data_centre_load& b) {
        return a.in_progress * b.limit < b.in_progress * a.limit;
    });
    double in_progress = demand;
    double limit = 0;
    for (const auto& next : loads) {
        if (limit > 0 && in_progress * next.limit <= next.in_progress * limit) {
            break;
        }
        in_progress += next.in_progress;
        limit += next.limit;
    }
    return limit > 0 ? in_progress / limit : 0;
}

/// Shares of a service without targets in the own data centre: by free capacity.
std::vector<double> split_by_room(std::span<const data_centre_load> loads)
{
    std::vector<double> result(loads.size());
    for (std::size_t i = 1; i < loads.size(); ++i) {
        result[i] = std::max(loads[i].limit - loads[i].in_progress, loads[i].limit * full_weight);
    }
    const double sum = std::accumulate(result.begin(), result.end(), 0.0);
    for (auto& share : result) {
        share = sum > 0 ? share / sum : 0;
    }
    return result;
}

} // namespace

std::vector<double> split_demand(std::span<const data_centre_load> loads, std::span<const double> shares,
                                 const spillover_options& options)
{
    const auto& own = loads.front();
    if (own.limit <= 0) {
        return split_by_room(loads);
    }
    std::vector<double> result(loads.size());
    result.front() = 1;
    const double left = std::accumulate(shares.begin() + 1, shares.end(), 0.0);
    const double demand = own.in_progress / (1 - std::min(left, max_leaving));
    std::vector<data_centre_load> others;
    for (std::size_t i = 1; i < loads.size(); ++i) {
        if (loads[i].limit > 0) {
            const double without_own = std::max(0.0, loads[i].in_progress - demand * shares[i]);
            others.push_back({without_own + options.margin * loads[i].limit, loads[i].limit});
        }
    }
    if (others.empty() || demand <= options.threshold * own.limit) {
        return result;
    }
    auto all = others;
    all.push_back({0, own.limit});
    const double own_level = std::max(options.threshold, fill_level(all, demand));
    const double excess = std::max(0.0, demand - own_level * own.limit);
    const double level = fill_level(others, excess);
    std::size_t next = 0;
    for (std::size_t i = 1; i < loads.size(); ++i) {
        if (loads[i].limit > 0) {
            const auto& other = others[next++];
            result[i] = std::max(0.0, level * other.limit - other.in_progress) / demand;
        }
    }
    result.front() = std::max(0.0, 1 - excess / demand);
    return result;
}

void spillover::set_data_centres(std::vector<std::string> names)
{
    std::vector<double> shares(names.size());
    for (std::size_t i = 1; i < names.size(); ++i) {
        const auto known = std::find(names_.begin(), names_.end(), names[i]);
        if (known != names_.end()) {
            shares[i] = shares_[static_cast<std::size_t>(known - names_.begin())];
        }
    }
    names_ = std::move(names);
    shares_ = std::move(shares);
}

void spillover::update(std::span<const data_centre_load> loads, double service_time, steady_time now)
{
    if (loads.size() != shares_.size() || loads.size() < 2) {
        return;
    }
    const auto wanted = split_demand(loads, shares_, options_);
    const double constant = std::max(to_seconds(options_.smoothing), service_time * smoothing_service_times);
    const double elapsed = updated_ == steady_time{} ? 0 : to_seconds(now - updated_);
    const double step = loads.front().limit <= 0 ? 1 : 1 - std::exp(-elapsed / constant);
    for (std::size_t i = 1; i < shares_.size(); ++i) {
        shares_[i] = loads[i].limit > 0 ? shares_[i] + (wanted[i] - shares_[i]) * step : 0;
        if (shares_[i] < min_share && wanted[i] < min_share) {
            shares_[i] = 0;
        }
    }
    updated_ = now;
}

double spillover::leaving() const
{
    return shares_.empty() ? 0 : std::accumulate(shares_.begin() + 1, shares_.end(), 0.0);
}

std::size_t spillover::choose_for_retry(std::span<const data_centre_load> loads) const
{
    const auto& own = loads.front();
    if (own.limit > 0 && own.in_progress <= options_.threshold * own.limit) {
        return 0;
    }
    std::size_t best = 0;
    for (std::size_t i = 1; i < loads.size(); ++i) {
        const double margin = best == 0 ? options_.margin : 0;
        const auto& least = loads[best];
        const bool better = (loads[i].in_progress + margin * loads[i].limit) * least.limit <
                            least.in_progress * loads[i].limit;
        if (loads[i].limit > 0 && (least.limit <= 0 || better)) {
            best = i;
        }
    }
    return best;
}

std::size_t spillover::choose(double unit) const
{
    for (std::size_t i = 1; i < shares_.size(); ++i) {
        if (unit < shares_[i]) {
            return i;
        }
        unit -= shares_[i];
    }
    return 0;
}

} // namespace wagtailhatch
