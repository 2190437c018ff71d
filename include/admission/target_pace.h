#pragma once

#include "include/core/clock.h"
#include "include/core/string_map.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wagtailhatch {

/// Change of whether a target counts as slow.
enum class speed_change : std::uint8_t { none, became_slow, recovered };

/// Decides from a target's pace whether it is slow. Only a pace that stays above or below the threshold for a
/// while changes the state, because the pace changes many times a second. Not thread-safe.
class slow_target_detector {
public:
    /// Evaluates the current pace, 0 if it is unknown, which counts as not slow. Call it with each new pace
    /// and several times per second.
    speed_change update(double pace, steady_time now);

    /// Start of the time for which the target has been slow; nothing if it is not slow.
    std::optional<steady_time> slow_since() const { return slow_since_; }

private:
    std::optional<steady_time> slow_since_;
    std::optional<steady_time> differs_since_; ///< Since when the pace has contradicted the state.
};

/// Mean of the samples of about the last `time_constant`: the weight of a sample decays exponentially with
/// its age, so that it does not depend on how often samples arrive. Not thread-safe.
class decaying_mean {
public:
    explicit decaying_mean(duration time_constant)
        : time_constant_{time_constant}
    {
    }

    void add(double sample, steady_time now);

    /// The mean; 0 before the first sample.
    double value() const { return weight_ > 0 ? sum_ / weight_ : 0; }

private:
    duration time_constant_;
    double sum_ = 0;
    double weight_ = 0;
    steady_time last_{};
};

/// Speed of the target beside this node, from the pace that it announces and from the time that its responses
/// take. Holds the state of one incarnation of the target. Not thread-safe; the caller passes the time.
class target_pace {
public:
    /// Identifies a request that was sent, for on_response().
    struct sent_request {
        steady_time at{};
        double usual_seconds = 0;       ///< Reading of the clock that runs at the target's speed.
        bool slower_than_usual = false; ///< The pace was above 1.
        std::uint32_t incarnation = 0;
    };

    /// Records the pace that a response announced, 1 as usual; nothing if it announced none. Returns false if
    /// the value is invalid.
    bool on_pace(std::optional<double> announced, steady_time now);

    sent_request on_sent(steady_time now);

    /// Records the response to a request that the target has executed. Call on_pace() of that response first.
    /// Requests that timed out, were cancelled, rejected or failed must not be recorded: their times do not
    /// tell how long the work takes.
    void on_response(std::string_view route, const sent_request& request, steady_time now);

    /// Current pace: 1 as usual, 2 if work takes twice as long; 0 if none has been announced for 1 s.
    double pace(steady_time now) const;

    /// Expected time from sending a request now until its response, for the current mix of routes; zero if
    /// the pace or the time is unknown.
    duration service_time(steady_time now) const;

    /// As service_time(), for a request on the route; service_time() if the route's usual time is not known.
    duration expected_time(std::string_view route, steady_time now) const;

    /// Usual time of a request on the route at this target; zero if it is not known yet.
    duration usual_time(std::string_view route) const;

    /// Returns whether the target became slow or recovered. Call it after on_pace() and several times per
    /// second.
    speed_change update_slow(steady_time now) { return detector_.update(pace(now), now); }
    std::optional<steady_time> slow_since() const { return detector_.slow_since(); }

    /// Drops everything, for a new incarnation of the target. Returns `recovered` if the previous one was
    /// slow.
    speed_change reset();

private:
    void advance(double pace, steady_time now);

    double announced_ = 0; ///< Last valid pace; 0: none.
    steady_time announced_at_{};
    std::optional<steady_time> last_above_usual_;
    double usual_seconds_ = 0; ///< Time that work done so far would have taken at the usual pace.
    steady_time advanced_to_{};
    string_map<decaying_mean> usual_;          ///< By route, seconds at the usual pace.
    decaying_mean mix_{sample_lifetime};       ///< Usual seconds of the requests that are sent at present.
    decaying_mean deviation_{sample_lifetime}; ///< Measured time relative to the usual one at the same pace.
    slow_target_detector detector_;
    std::uint32_t incarnation_ = 0;

    static constexpr duration sample_lifetime = std::chrono::seconds{1};
};

} // namespace wagtailhatch
