#pragma once

#include "include/admission/load_report.h"
#include "include/core/clock.h"
#include "include/core/importance.h"

#include <array>
#include <cstdint>

namespace wagtailhatch {

struct shed_controller_options {
    duration window = std::chrono::milliseconds{50};
    double overfill =
        1.05;          ///< Senders let through this multiple of what is served, so that slots stay filled.
    double gain = 0.5; ///< Part of the excess that one window removes.
    double min_growth = 0.05;
    double max_growth = 0.5; ///< Levels a window, reached by doubling while nothing is refused.
};

/// Finds the level to which senders should shed, from what arrives, what finishes and what is refused here.
/// Recovers by itself: without refusals the level grows back to everything within a second.
class shed_controller {
public:
    explicit shed_controller(shed_controller_options options);

    void on_arrival(importance level) { ++arrived_.at(static_cast<std::size_t>(level)); }
    void on_refusal() { ++refused_; }
    void on_finish() { ++finished_; }

    admit_level level(steady_time now);

private:
    void end_window();
    void remove(double excess);

    shed_controller_options options_;
    std::array<double, importance_count> arrived_{};
    double refused_ = 0;
    double finished_ = 0;
    double growth_;
    double level_ = admit_level::everything;
    steady_time window_start_{};
};

} // namespace wagtailhatch
