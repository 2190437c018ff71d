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
    /// Share of the capacity that senders fill. Above 1, the excess is rejected at this node after the
    /// upstream work for it has been done, and a chain of several calls would hardly ever succeed.
    double utilization = 0.97;
    double smoothing = 0.3; ///< Weight of one window in the exponential moving average of the demand.
};

/// Load-shedding controller: computes the admission level that senders apply before they send. It estimates
/// the demand of each class before shedding from the arrivals and the level that senders applied, and chooses
/// the level at which the admitted demand fills the capacity. Everything is admitted again as soon as the
/// demand fits the capacity.
///
/// By default, nested calls are admitted in full before any request of their chains' class. With equal
/// shares, the level admits the same fraction of both, that of the requests' class, and every class gets at
/// least a quarter of the fraction that all classes together get.
class shed_controller {
public:
    explicit shed_controller(shed_controller_options options);

    /// Estimated demand of each class before shedding, in requests per second.
    const std::array<double, importance_count>& demand() const { return demand_; }

    /// Whether requests and the nested calls of chains of the same class are admitted by the same fraction.
    void set_equal_shares(bool equal);

    void on_arrival(importance level) { arrived_.at(static_cast<std::size_t>(level)) += 1; }

    /// Updates the level once per window and returns it. `capacity` is the number of requests per second that
    /// the target serves at its concurrency limit; 0: unknown, in which case everything is admitted.
    admit_level level(steady_time now, double capacity);

private:
    static constexpr std::size_t history = 4;

    void estimate(double elapsed);
    admit_level level_for_rate(double wanted) const;
    admit_level equal_level_for_rate(double wanted) const;
    /// Highest share of a class that senders were told to admit in the last windows.
    double admitted_fraction(importance i) const;

    shed_controller_options options_;
    std::array<double, importance_count> arrived_{};
    std::array<double, importance_count> demand_{};    ///< Requests per second.
    std::array<admit_level, history> recent_levels_{}; ///< Levels of the last windows, newest first.
    admit_level level_;
    double wanted_rate_ = 0; ///< Rate that the level was chosen for; 0: none.
    bool equal_shares_ = false;
    steady_time window_start_{};
};

} // namespace wagtailhatch
