#include "include/admission/request_rate_limit.h"

#include <algorithm>

namespace wagtailhatch {
namespace {

// Requests that may be sent at once after a pause, in seconds of the rate.
constexpr double burst_seconds = 0.25;

} // namespace

double request_rate_limit::depth() const
{
    return std::max(1.0, *per_second_ * burst_seconds);
}

void request_rate_limit::set(std::optional<double> per_second, steady_time now)
{
    if (!per_second) {
        per_second_.reset();
        return;
    }
    if (!per_second_) {
        // Requests sent before the rate was known are still being processed.
        tokens_ = 0;
        refilled_at_ = now;
    }
    else {
        refill(now);
    }
    per_second_ = std::max(*per_second, min_rate);
    tokens_ = std::min(tokens_, depth());
}

void request_rate_limit::refill(steady_time now)
{
    tokens_ = std::min(depth(), tokens_ + *per_second_ * to_seconds(now - refilled_at_));
    refilled_at_ = now;
}

bool request_rate_limit::available(steady_time now)
{
    if (!per_second_) {
        return true;
    }
    refill(now);
    return tokens_ >= 1;
}

void request_rate_limit::take(steady_time now)
{
    if (per_second_) {
        refill(now);
        tokens_ -= 1;
    }
}

duration request_rate_limit::time_until_sent(std::size_t requests, steady_time now)
{
    if (!per_second_) {
        return {};
    }
    refill(now);
    const double missing = std::max(0.0, static_cast<double>(requests) - tokens_);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(missing / *per_second_));
}

} // namespace wagtailhatch
