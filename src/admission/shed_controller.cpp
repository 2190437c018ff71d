#include "include/admission/shed_controller.h"

#include <algorithm>
#include <numeric>

namespace wagtailhatch {
namespace {

// Below this the service would hear of no demand at all, and could not tell when it ends.
constexpr double lowest_level = 0.1;
// A window with fewer events is prolonged, up to this many windows, because its ratio is mostly noise.
constexpr double enough_events = 20;
constexpr int longest_window = 4;

} // namespace

shed_controller::shed_controller(shed_controller_options options)
    : options_{options}
    , growth_{options.min_growth}
{
}

admit_level shed_controller::level(steady_time now)
{
    const auto elapsed = now - window_start_;
    const double events = std::accumulate(arrived_.begin(), arrived_.end(), finished_);
    if (elapsed >= options_.window &&
        (events >= enough_events || elapsed >= options_.window * longest_window)) {
        end_window();
        window_start_ = now;
    }
    return admit_level{level_};
}

void shed_controller::end_window()
{
    if (refused_ > 0) {
        growth_ = options_.min_growth;
        const double arrived = std::accumulate(arrived_.begin(), arrived_.end(), 0.0);
        remove((arrived - std::max(1.0, finished_) * options_.overfill) * options_.gain);
    }
    else if (level_ < admit_level::everything) {
        level_ = std::min(admit_level::everything, level_ + growth_);
        growth_ = std::min(options_.max_growth, growth_ * 2);
    }
    arrived_ = {};
    refused_ = 0;
    finished_ = 0;
}

void shed_controller::remove(double excess)
{
    for (std::size_t c = importance_count; c-- > 0 && excess > 0;) {
        const double fraction = std::clamp(level_ - static_cast<double>(c), 0.0, 1.0);
        if (fraction <= 0) {
            continue;
        }
        const double arrived = arrived_.at(c);
        const double drop = arrived > 0 ? std::min(fraction, fraction * excess / arrived) : fraction;
        level_ -= drop;
        excess -= arrived * drop / fraction;
    }
    level_ = std::max(level_, lowest_level);
}

} // namespace wagtailhatch
