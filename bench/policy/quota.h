#pragma once

#include "include/core/clock.h"

#include <algorithm>

namespace wagtailhatch::bench {

/// Fleet-wide rate of one workspace.
class workspace_quota {
public:
    virtual ~workspace_quota() = default;
    virtual bool admit(double now) = 0;
};

/// One exact token bucket for the whole fleet: what the distributed quota should come close to.
class exact_bucket final : public workspace_quota {
public:
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
        return true;
    }

private:
    double rate_;
    double burst_;
    double tokens_;
    double last_ = 0;
};

} // namespace wagtailhatch::bench
