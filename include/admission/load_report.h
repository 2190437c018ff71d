#pragma once

#include "include/core/clock.h"
#include "include/core/importance.h"

#include <algorithm>
#include <cstdint>

namespace wagtailhatch {

/// Admission threshold of a service, from 0 (no request) to importance_count (every request). The integer
/// part counts the importance classes that are admitted in full, the fraction is the share of the next class:
/// 2.4 admits the two most important classes, 40% of the third and none below. Every class gets at least the
/// least share, 0 by default.
class admit_level {
public:
    static constexpr double everything = static_cast<double>(importance_count);
    static constexpr double max_least_share = 0.25;

    admit_level() = default;

    /// Clamps values outside the range, which may come from the wire; NaN becomes `everything`, or no least
    /// share.
    explicit admit_level(double value, double least_share = 0)
        : value_{value >= 0 ? std::min(value, everything) : (value < 0 ? 0.0 : everything)}
        , least_share_{least_share > 0 ? std::min(least_share, max_least_share) : 0.0}
    {
    }

    double value() const { return value_; }
    double least_share() const { return least_share_; }
    bool all() const { return value_ >= everything; }

    /// The level that admits `classes` more classes, with the same least share.
    admit_level raised(double classes) const { return admit_level{value_ + classes, least_share_}; }

    /// Admitted share of a class, from 0 to 1.
    double fraction(importance i) const
    {
        return std::clamp(value_ - static_cast<double>(i), least_share_, 1.0);
    }

    /// The most important class that is not admitted in full; the last class if everything is admitted.
    importance shed_below() const
    {
        return static_cast<importance>(std::min(static_cast<int>(value_), int{importance_count} - 1));
    }

    /// The level that admits only what both levels admit.
    friend admit_level min(admit_level a, admit_level b)
    {
        if (a.all() || b.all()) {
            return a.all() ? b : a;
        }
        return admit_level{std::min(a.value_, b.value_), std::min(a.least_share_, b.least_share_)};
    }

private:
    double value_ = everything;
    double least_share_ = 0;
};

/// Amount by which a reported level of downstream services relaxes with each hop upstream, so that it decays
/// where services call each other in a cycle.
constexpr double pressure_relaxation_per_hop = 0.02;

/// Load of one target. The target's node attaches it to every response.
struct load_report {
    std::uint32_t in_flight = 0;
    std::uint32_t limit = 0; ///< Concurrency limit, or the mean number in flight at rate_limit; 0: unknown.
    std::uint32_t queued = 0;
    /// The target's downstream calls are failing. Its own failures are a consequence of that, and a retry
    /// would only repeat the calls.
    bool downstream_failing = false;
    duration estimated_wait{}; ///< Queueing time of a request of normal importance that arrives now.
    /// Of this target. If a pace is known, it applies to requests; nested calls are admitted by the fraction
    /// of the class of their chains' requests. Otherwise it applies to both by their own classes.
    admit_level own;
    admit_level path;      ///< Of the downstream services on the route of the request.
    double rate_limit = 0; ///< Requests per second that the target takes from all nodes; 0: no limit.
    /// Announced duration of work on the target's host relative to the usual one; 1: as usual, 0: the target
    /// announces none. Senders use the field below only if a pace is known.
    double pace = 0;
    duration service_time{}; ///< Smoothed time from sending a request until its response; 0: unknown.
};

} // namespace wagtailhatch
