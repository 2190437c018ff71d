#pragma once

#include "include/core/clock.h"

#include <cstdint>

namespace wagtailhatch {

struct concurrency_limit_options {
    bool adaptive = true; ///< If false, the limit stays at `initial`.
    std::uint32_t initial = 20;
    std::uint32_t floor = 2;
    std::uint32_t maximum = 1000;
    double tolerance = 1.6; ///< Latency above this multiple of the baseline indicates queueing in the target.
    /// Measurement interval; it is extended until `min_samples` requests have finished.
    duration window = std::chrono::milliseconds{100};
    std::uint32_t min_samples = 10;
};

/// Returns how many of a target's service slots the node uses. The rest stays free because targets slow down
/// when nearly all slots are taken.
std::uint32_t usable_slots(std::uint32_t slots);

/// Options for a target with the given number of configured service slots; with 0 the limit is adaptive.
/// A configured number gives a fixed limit of usable_slots(): adapting below it lost critical requests while
/// a service was slow, without any gain.
concurrency_limit_options limit_options_for_slots(std::uint32_t slots);

/// Adaptive concurrency limit, based on the target's own latency (downstream calls excluded). The limit grows
/// while it is fully used and the latency stays near its baseline, the lowest latency seen. It is reduced
/// when the latency rises, and each reduction is verified: if the latency does not fall with it, the target
/// is slow for other reasons, so the reduction is reverted and the baseline set to the current latency.
class concurrency_limit {
public:
    explicit concurrency_limit(concurrency_limit_options options);

    std::uint32_t limit() const { return limit_; }

    /// Reports one finished request. `in_flight` includes it.
    void on_finish(steady_time now, duration own_latency, bool success, std::uint32_t in_flight);

    /// Resets the limit to `start` and discards the baseline latency, for a new or restarted target.
    void restart(std::uint32_t start);

private:
    void end_window(steady_time now);
    void adjust_limit(double latency);
    bool verify_cut(double latency);
    bool full() const;

    concurrency_limit_options options_;
    std::uint32_t limit_;
    steady_time window_start_{};
    double latency_sum_ = 0;
    std::uint32_t samples_ = 0;
    std::uint32_t failures_ = 0;
    std::uint32_t peak_in_flight_ = 0;
    double baseline_latency_ = 0; ///< Baseline latency in seconds; 0: not measured.
    bool cut_pending_ = false;
    std::uint32_t limit_before_cut_ = 0;
    double latency_before_cut_ = 0;
    std::uint32_t windows_since_cut_ = 0;
};

} // namespace wagtailhatch
