#pragma once

#include "include/core/clock.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <optional>
#include <utility>

namespace wagtailhatch {

/// When the platform is last known to have had no higher version than the one held, and whether that is
/// longer ago than the operators allow.
class platform_contact {
public:
    explicit platform_contact(const clock& time)
        : time_{time}
    {
    }

    void on_change(std::function<void(bool stale)> callback) { callback_ = std::move(callback); }

    void confirm(steady_time when) { confirmed_ = std::max(confirmed_.value_or(when), when); }

    std::optional<std::chrono::milliseconds> age() const
    {
        if (!confirmed_) {
            return std::nullopt;
        }
        return std::max(std::chrono::duration_cast<std::chrono::milliseconds>(time_.now() - *confirmed_),
                        std::chrono::milliseconds{0});
    }

    /// A limit of 0 never makes stale; without any contact every other limit does.
    void check(std::chrono::seconds limit)
    {
        const bool now_stale = limit.count() > 0 && (!confirmed_ || time_.now() - *confirmed_ > limit);
        if (now_stale != std::exchange(stale_, now_stale) && callback_) {
            callback_(now_stale);
        }
    }

    bool stale() const { return stale_; }

private:
    const clock& time_;
    std::function<void(bool)> callback_;
    std::optional<steady_time> confirmed_;
    bool stale_ = false;
};

} // namespace wagtailhatch
