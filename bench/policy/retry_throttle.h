#pragma once

#include <algorithm>

namespace wagtailhatch {

struct retry_throttle_options {
    double ratio = 0.1;  ///< Retries earned by each first attempt.
    double reserve = 10; ///< Maximum balance of retries, and the initial one.
};

/// Retry throttle (token bucket) of one sender: at most ratio x first attempts + reserve retries.
class retry_throttle {
public:
    explicit retry_throttle(retry_throttle_options options)
        : options_{options}
        , balance_{options.reserve}
    {
    }

    void on_first_attempt() { balance_ = std::min(balance_ + options_.ratio, options_.reserve); }

    /// Takes one retry from the balance; false if less than one is left.
    bool try_retry()
    {
        if (balance_ < 1) {
            return false;
        }
        balance_ -= 1;
        return true;
    }

private:
    retry_throttle_options options_;
    double balance_;
};

} // namespace wagtailhatch
