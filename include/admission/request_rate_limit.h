#pragma once

#include "include/core/clock.h"

#include <cstddef>
#include <optional>

namespace wagtailhatch {

/// Token bucket for the request rate that a target accepts from all nodes together. The target names the rate
/// in its responses; without a named rate there is no limit. Not thread-safe; the caller passes the time.
class request_rate_limit {
public:
    /// Requests per second that pass whatever the target names, so that it can lift its limit.
    static constexpr double min_rate = 0.5;

    /// Sets the rate in requests per second; nothing removes the limit. Tokens that were taken stay taken.
    void set(std::optional<double> per_second, steady_time now);

    bool limited() const { return per_second_.has_value(); }

    /// The enforced rate in requests per second; nothing if there is no limit. It is never zero: only
    /// responses can lift the limit, so a few requests pass always.
    std::optional<double> per_second() const { return per_second_; }

    /// Returns whether a request may be sent now.
    bool available(steady_time now);

    /// Takes the token of a request that is sent now.
    void take(steady_time now);

    /// Returns the time until `requests` further requests may have been sent; zero if there is no limit.
    duration time_until_sent(std::size_t requests, steady_time now);

private:
    void refill(steady_time now);
    double depth() const;

    std::optional<double> per_second_;
    double tokens_ = 0;
    steady_time refilled_at_{};
};

} // namespace wagtailhatch
