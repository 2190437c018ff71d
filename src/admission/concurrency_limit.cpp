#include "include/admission/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace wagtailhatch {
namespace {

// A reduction of the limit is kept only if the relative drop in latency is at least this multiple of the
// relative reduction.
constexpr double required_drop_ratio = 0.5;
constexpr double min_cut_factor = 0.7;
constexpr double growth_fraction = 0.1;
// The baseline latency moves towards the current latency by this fraction per window, so that an outdated
// baseline is corrected within about a minute.
constexpr double baseline_drift = 0.002;
constexpr double full_threshold = 0.9;
// Targets slow down when nearly all of their slots are taken, so the last slots cost more throughput than
// they add. Health checks and new connections use slots as well.
constexpr double spare_slot_fraction = 0.05;
// With fewer slots, one more slot adds more throughput than it costs by slowing down the others.
constexpr std::uint32_t min_slots_with_spare = 8;
// After this many windows most requests admitted before a reduction have finished.
constexpr std::uint32_t settle_windows = 2;

} // namespace

std::uint32_t usable_slots(std::uint32_t slots)
{
    if (slots < min_slots_with_spare) {
        return slots;
    }
    return slots - static_cast<std::uint32_t>(std::ceil(slots * spare_slot_fraction));
}

concurrency_limit_options limit_options_for_slots(std::uint32_t slots)
{
    concurrency_limit_options options;
    if (slots > 0) {
        options.adaptive = false;
        options.initial = usable_slots(slots);
        options.maximum = options.initial;
    }
    return options;
}

concurrency_limit::concurrency_limit(concurrency_limit_options options)
    : options_{options}
    , limit_{std::clamp(options.initial, options.floor, options.maximum)}
{
}

void concurrency_limit::restart(std::uint32_t start)
{
    limit_ = std::clamp(start, options_.floor, options_.maximum);
    baseline_latency_ = 0;
    cut_pending_ = false;
    samples_ = 0;
    latency_sum_ = 0;
    peak_in_flight_ = 0;
}

void concurrency_limit::on_finish(steady_time now, duration own_latency, bool success,
                                  std::uint32_t in_flight)
{
    if (!options_.adaptive) {
        return;
    }
    if (samples_ == 0) {
        window_start_ = std::max(window_start_, now - options_.window);
    }
    ++samples_;
    failures_ += success ? 0 : 1;
    latency_sum_ += std::max(0.0, to_seconds(own_latency));
    peak_in_flight_ = std::max(peak_in_flight_, in_flight);
    if (now - window_start_ >= options_.window && samples_ >= options_.min_samples) {
        end_window(now);
    }
}

void concurrency_limit::end_window(steady_time now)
{
    const double latency = latency_sum_ / samples_;
    if (baseline_latency_ <= 0 || latency < baseline_latency_) {
        baseline_latency_ = latency;
    }
    else if (!full()) {
        baseline_latency_ += (latency - baseline_latency_) * baseline_drift;
    }
    adjust_limit(latency);
    window_start_ = now;
    latency_sum_ = 0;
    samples_ = 0;
    failures_ = 0;
    peak_in_flight_ = 0;
}

bool concurrency_limit::full() const
{
    return peak_in_flight_ >= full_threshold * limit_;
}

bool concurrency_limit::verify_cut(double latency)
{
    const double cut = 1.0 - static_cast<double>(limit_) / limit_before_cut_;
    const double fall = 1.0 - latency / latency_before_cut_;
    cut_pending_ = false;
    if (fall >= required_drop_ratio * cut) {
        return true;
    }
    limit_ = limit_before_cut_;
    baseline_latency_ = latency;
    return false;
}

void concurrency_limit::adjust_limit(double latency)
{
    if (cut_pending_ && (++windows_since_cut_ < settle_windows || !verify_cut(latency))) {
        return;
    }
    const bool failing = failures_ * 2 > samples_;
    const bool slow = latency > options_.tolerance * baseline_latency_;
    if (full() && (slow || failing)) {
        limit_before_cut_ = limit_;
        latency_before_cut_ = latency;
        windows_since_cut_ = 0;
        const double factor = std::max(min_cut_factor, options_.tolerance * baseline_latency_ / latency);
        limit_ = std::max(options_.floor, static_cast<std::uint32_t>(limit_ * std::min(factor, 0.9)));
        cut_pending_ = limit_ < limit_before_cut_;
    }
    else if (full()) {
        const auto step = std::max(1U, static_cast<std::uint32_t>(limit_ * growth_fraction));
        limit_ = std::min(options_.maximum, limit_ + step);
    }
}

} // namespace wagtailhatch
