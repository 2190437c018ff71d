#pragma once

#include "include/core/clock.h"
#include "include/core/string_map.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>

namespace wagtailhatch {

struct rejection_estimator_options {
    /// Arrivals that the share is computed from: the newest ones, up to this number and this old. The number
    /// does not count for arrivals younger than min_age.
    std::size_t max_arrivals = 128;
    duration min_age = std::chrono::milliseconds{200};
    duration max_age = std::chrono::seconds{1};
    /// This number of arrivals is kept for longer, up to max_rare_age: few are made while requests are shed.
    std::size_t min_arrivals = 16;
    duration max_rare_age = std::chrono::seconds{3};
    /// A target counts as used, and as rejecting, for this long after an arrival or a rejection.
    duration target_memory = std::chrono::seconds{2};
    std::size_t rejections_to_begin = 5;
    /// The rejections have ended if arrivals without one, at the share so far, are less probable than
    /// exp(-this) and last for end_duration: at a high rate such a run occurs by chance within a second.
    double end_evidence = 6;
    duration end_duration = std::chrono::milliseconds{150};
};

/// Estimates the share of arrivals, first and repeated ones, that the targets of a service reject. A service
/// rejects only while more than half of the targets that this node uses reject: the balancer avoids a single
/// bad target. Not thread-safe.
class rejection_estimator {
public:
    explicit rejection_estimator(rejection_estimator_options options = {});

    /// Records that a request reached the target, and whether the target rejected it.
    void on_arrival(std::string_view target, bool rejected, steady_time now);

    /// Returns whether the service rejects a part of everything.
    bool rejecting(steady_time now);

    /// Returns the rejected share of arrivals, 0 while the service is not rejecting.
    double share(steady_time now);

private:
    struct arrival {
        steady_time at{};
        bool rejected = false;
    };
    struct target_record {
        steady_time used{};
        steady_time rejected{};
    };

    void push(bool rejected, steady_time now);
    void pop();
    void drop_old(steady_time now);
    void clear();
    void record_target(std::string_view target, bool rejected, steady_time now);
    bool most_targets_reject(steady_time now) const;
    bool rejections_ended(steady_time now) const;

    rejection_estimator_options options_;
    std::deque<arrival> arrivals_;
    std::size_t rejected_ = 0;     ///< Among arrivals_.
    std::size_t accepted_run_ = 0; ///< Arrivals since the last rejection.
    steady_time last_rejection_{};
    string_map<target_record> targets_;
    bool rejecting_ = false;
};

} // namespace wagtailhatch
