#pragma once

#include "include/core/clock.h"
#include "tools/standin_target/target_settings.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <utility>

namespace wagtailhatch::standin {

/// The load that a target admits to: late or wrong if told so.
class load_report {
public:
    load_report(load_lie lie, std::chrono::milliseconds lag)
        : lie_{lie}
        , lag_{lag}
    {
    }

    void changed(std::size_t in_flight, steady_time now)
    {
        history_.emplace_back(now, in_flight);
        while (history_.size() > 1 && history_[1].first <= now - lag_) {
            history_.pop_front();
        }
    }

    std::size_t value(steady_time now)
    {
        if (lie_ == load_lie::zero) {
            return 0;
        }
        if (lie_ == load_lie::frozen && frozen_) {
            return *frozen_;
        }
        std::size_t out = 0;
        for (const auto& [at, in_flight] : history_) {
            if (at <= now - lag_) {
                out = in_flight;
            }
        }
        frozen_ = out;
        return out;
    }

private:
    load_lie lie_;
    std::chrono::milliseconds lag_;
    std::deque<std::pair<steady_time, std::size_t>> history_;
    std::optional<std::size_t> frozen_;
};

} // namespace wagtailhatch::standin
