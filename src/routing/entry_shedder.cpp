#include "include/routing/entry_shedder.h"

#include <algorithm>
#include <cmath>

namespace wagtailhatch {
namespace {

constexpr double rate_smoothing = 0.2;
// The water-filling level is recomputed when the admitted fraction has changed by this much.
constexpr double fraction_step = 0.01;
// Longest Retry-After of a shed request, as a multiple of the usual one.
constexpr double max_retry_after_multiple = 10;

} // namespace

duration retry_after_shedding(duration base, double admitted_fraction, random_source& random)
{
    const double multiple =
        1 / std::clamp(admitted_fraction, 1 / max_retry_after_multiple, 1.0) * (0.5 + random.unit());
    return std::chrono::duration_cast<duration>(base * multiple);
}

entry_shedder::entry_shedder(entry_shedder_options options, random_source& random)
    : options_{options}
    , random_{random}
{
}

std::uint32_t entry_shedder::index_of(std::string_view workspace)
{
    if (const auto it = index_.find(workspace); it != index_.end()) {
        return it->second;
    }
    const auto index = static_cast<std::uint32_t>(demands_.size());
    demands_.emplace_back();
    index_.emplace(std::string{workspace}, index);
    return index;
}

void entry_shedder::set_weight(std::string_view workspace, double weight)
{
    demands_[index_of(workspace)].weight = std::max(weight, 1e-6);
}

void entry_shedder::end_window(steady_time now)
{
    window_start_ = now;
    for (auto& d : demands_) {
        for (std::size_t i = 0; i < importance_count; ++i) {
            d.rate.at(i) += (d.current.at(i) - d.rate.at(i)) * rate_smoothing;
            d.current.at(i) = 0;
        }
    }
    for (auto& s : shares_) {
        s.fraction = -1;
    }
}

double entry_shedder::water_level(std::size_t level, double fraction)
{
    auto& cached = shares_.at(level);
    if (std::abs(cached.fraction - fraction) < fraction_step) {
        return cached.water;
    }
    scratch_.clear();
    double budget = 0;
    double weights = 0;
    for (const auto& d : demands_) {
        if (d.rate.at(level) > 0) {
            scratch_.emplace_back(d.rate.at(level), d.weight);
            budget += d.rate.at(level) * fraction;
            weights += d.weight;
        }
    }
    std::sort(scratch_.begin(), scratch_.end(),
              [](const auto& a, const auto& b) { return a.first * b.second < b.first * a.second; });
    double water = 0;
    for (const auto& [rate, weight] : scratch_) {
        water = budget / weights;
        if (rate > water * weight) {
            break;
        }
        budget -= rate;
        weights -= weight;
    }
    cached = {fraction, water};
    return water;
}

bool entry_shedder::should_shed(importance level, std::string_view workspace, admit_level admitted,
                                steady_time now)
{
    if (now - window_start_ >= options_.window) {
        end_window(now);
    }
    const auto i = static_cast<std::size_t>(level);
    auto& own = demands_[index_of(workspace)];
    own.current.at(i) += 1;
    const double fraction = admitted.fraction(level);
    if (fraction >= 1) {
        return false;
    }
    if (fraction <= 0 || !options_.fair || own.rate.at(i) <= 0) {
        return random_.unit() >= fraction;
    }
    const double share = water_level(i, fraction) * own.weight;
    return random_.unit() * own.rate.at(i) >= share;
}

} // namespace wagtailhatch
