#pragma once

#include "include/admission/load_report.h"
#include "include/core/clock.h"
#include "include/core/importance.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace wagtailhatch {

struct shed_controller_options {
    duration window = std::chrono::milliseconds{50};
    double overfill = 1.3;  ///< Senders let through this multiple of the capacity, so that slots stay filled.
    double smoothing = 0.3; ///< Weight of one window in the estimate of demand.
    duration hold = std::chrono::milliseconds{500}; ///< Sheds only this long after the last refusal.
};

/// Finds the level to which senders should shed. Estimates the demand of each class before shedding, from
/// what arrives and the level that senders knew, and sets the level at which the classes fill the capacity.
/// Recovers by itself: everything is admitted soon after the last refusal or when the demand falls.
class shed_controller {
public:
    explicit shed_controller(shed_controller_options options);

    void on_arrival(importance level) { arrived_.at(static_cast<std::size_t>(level)) += 1; }
    void on_refusal(steady_time now) { last_refusal_ = now; }

    /// capacity: requests a second that the target serves when its limit is used up; 0: not known.
    admit_level level(steady_time now, double capacity);

private:
    static constexpr std::size_t history = 4;

    void estimate(double elapsed);
    double solve(double wanted) const;

    shed_controller_options options_;
    std::array<double, importance_count> arrived_{};
    std::array<double, importance_count> demand_{}; ///< Requests a second.
    std::array<double, history> recent_levels_{};   ///< Levels of the last windows, newest first.
    double level_ = admit_level::everything;
    steady_time window_start_{};
    steady_time last_refusal_{};
};

} // namespace wagtailhatch
