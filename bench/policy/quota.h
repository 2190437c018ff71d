#pragma once

#include "include/core/clock.h"

#include <algorithm>

namespace wagtailhatch::bench {

/// Fleet-wide rate limit of one workspace. Times are in seconds of simulated time.
class workspace_quota {
public:
    virtual ~workspace_quota() = default;
    /// Takes one request from the quota; false if the request exceeds it.
    virtual bool admit(double now) = 0;

    /// Requests admitted since time 0 in excess of rate x time + burst; 0 if none.
    virtual double excess(double now) const = 0;
};

/// Token bucket with exact state shared by the whole fleet: the reference for the distributed quota.
class exact_bucket final : public workspace_quota {
public:
    /// rate: requests per second; burst: capacity in requests.
    exact_bucket(double rate, double burst)
        : rate_{rate}
        , burst_{burst}
        , tokens_{burst}
    {
    }

    bool admit(double now) override
    {
        tokens_ = std::min(burst_, tokens_ + (now - last_) * rate_);
        last_ = now;
        if (tokens_ < 1) {
            return false;
        }
        tokens_ -= 1;
        admitted_ += 1;
        return true;
    }

    double excess(double now) const override { return std::max(0.0, admitted_ - (rate_ * now + burst_)); }

private:
    double rate_;
    double burst_;
    double tokens_;
    double last_ = 0;
    double admitted_ = 0;
};

} // namespace wagtailhatch::bench
