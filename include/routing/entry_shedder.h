#pragma once

#include "include/admission/load_report.h"
#include "include/core/clock.h"
#include "include/core/random_source.h"
#include "include/core/string_map.h"

#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailhatch {

struct entry_shedder_options {
    bool fair = true; ///< If false, every workspace loses the same fraction.
    duration window = std::chrono::milliseconds{100};
};

/// Retry-After for a request of a class of which the entry admits this fraction: a caller that returns after
/// `base` is probably refused again while little is admitted. Spread at random, so that the callers that were
/// refused do not return at the same time.
duration retry_after_shedding(duration base, double admitted_fraction, random_source& random);

/// Sheds at the entry the fraction of each importance class that the admission level excludes. Divides the
/// admitted requests between workspaces by weighted max-min fairness over the traffic of this node alone, so
/// that a workspace whose demand is below its share loses nothing.
class entry_shedder {
public:
    entry_shedder(entry_shedder_options options, random_source& random);

    /// Relative share of a workspace, 1 by default.
    void set_weight(std::string_view workspace, double weight);

    /// Counts a request and returns whether to refuse it. Call it once per request.
    bool should_shed(importance level, std::string_view workspace, admit_level admitted, steady_time now);

private:
    struct demand {
        double weight = 1;
        std::array<double, importance_count> rate{};    ///< Requests per window, exponentially smoothed.
        std::array<double, importance_count> current{}; ///< Requests in the current window.
    };
    struct share {
        double fraction = -1; ///< Admitted fraction of the cached level; -1: none cached.
        double water = 0;     ///< Water-filling level: admitted requests per window and unit of weight.
    };

    std::uint32_t index_of(std::string_view workspace);
    void end_window(steady_time now);
    double water_level(std::size_t level, double fraction);

    entry_shedder_options options_;
    random_source& random_;
    string_map<std::uint32_t> index_;
    std::vector<demand> demands_;
    std::array<share, importance_count> shares_{};
    std::vector<std::pair<double, double>> scratch_;
    steady_time window_start_{};
};

} // namespace wagtailhatch
