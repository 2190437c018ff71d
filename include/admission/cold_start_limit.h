#pragma once

#include "include/core/clock.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace wagtailhatch {

struct cold_start_options {
    double rate = 0; ///< Requests per second that a cold target handles; 0: no limit.
    /// Duration of a cold start, for a target that has not told whether it is cold; 0: unknown.
    duration cold_duration{};
    /// In any second a cold target gets at most `rate` x `overage` + `slack` requests.
    double overage = 1.5;
    double slack = 8;

    bool operator==(const cold_start_options&) const = default;
};

/// Rate limit of one target during and after its cold start. A target whose state is unknown counts as cold
/// until it says otherwise or until a cold start that began with the uncertainty would have ended. The module
/// remembers the requests of the last second, because a warm target may turn cold at any moment and the
/// requests that it has just got count towards the bound. Not thread-safe; the caller passes the time.
class cold_start_limit {
public:
    /// Sets the options; a rate of 0 switches the limit off.
    void configure(const cold_start_options& options);

    /// A target with another id has taken the place of the previous one, or the first target is known. It
    /// counts as cold until a report.
    void on_new_target(steady_time now);

    /// The target may have become cold. Reports that this node received before `now` prove nothing.
    void expect_cold_start(steady_time now);

    /// Applies what the target says about itself. cold_until: end of its cold start; not after `reported` if
    /// it is not cold. reported: when this node received the report.
    void on_report(steady_time cold_until, steady_time reported, steady_time now);

    /// Whether the target is cold at this time, or may be. False if no rate is configured.
    bool cold(steady_time now) const;

    /// Whether cold() is an assumption that the target has not confirmed.
    bool assumed() const { return assumed_since_.has_value(); }

    /// Time until the end of the cold start; zero unless cold().
    duration cold_left(steady_time now) const;

    /// Requests per second that the target takes at this time; nothing if there is no limit. After the cold
    /// start the rate rises step by step.
    std::optional<double> rate(steady_time now) const;

    /// Time until the requests of the last second leave room for another one; zero unless cold().
    duration time_until_room(steady_time now) const;

    /// Records a request that is sent to the target.
    void on_start(steady_time now);

private:
    steady_time cold_end() const;
    std::size_t bound() const;

    cold_start_options options_;
    bool configured_ = false;
    std::optional<steady_time> assumed_since_; ///< The target counts as cold without having said so.
    steady_time reported_until_{};             ///< End of the cold start that the target reported.
    steady_time reports_after_{};              ///< Earlier reports prove nothing.
    bool ramp_ = false;                        ///< The rate rises step by step after the cold start.
    std::deque<steady_time> starts_;           ///< Of the last second, oldest first.
};

} // namespace wagtailhatch
