#pragma once

#include "include/core/clock.h"
#include "include/core/random_source.h"

#include <algorithm>
#include <chrono>

namespace wagtailhatch {

/// Growing delays with jitter, so that nodes do not return to a recovering table together.
class retry_delay {
public:
    retry_delay(const clock& time, random_source& random)
        : time_{&time}
        , random_{&random}
        , next_{time.now()}
    {
    }

    bool due() const { return time_->now() >= next_; }

    /// The attempt failed.
    void grow()
    {
        next_ = time_->now() + std::chrono::duration_cast<duration>(delay_ * (0.5 + random_->unit()));
        delay_ = std::min<duration>(2 * delay_, longest);
    }

    /// The attempt succeeded, or another is to be made at once.
    void reset()
    {
        delay_ = shortest;
        next_ = time_->now();
    }

private:
    static constexpr std::chrono::seconds shortest{1};
    static constexpr std::chrono::seconds longest{60};

    const clock* time_;
    random_source* random_;
    steady_time next_;
    duration delay_ = shortest;
};

} // namespace wagtailhatch
