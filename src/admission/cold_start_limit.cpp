#include "include/admission/cold_start_limit.h"

#include <algorithm>
#include <cmath>

namespace wagtailhatch {
namespace {

// The bound holds for arrivals at the target. Requests that are sent over more than a second may arrive
// within one, by up to the difference.
constexpr duration window = std::chrono::milliseconds{1100};
// Assumed duration of a cold start if none is configured. A target announces itself several times within it.
constexpr duration default_cold_duration = std::chrono::seconds{5};
// The rate rises by this factor in each step after the cold start. The first four steps stay below the usual
// overage of 1.5, in case the target is warm a little later than it announced.
constexpr double step_factor = 1.1;
constexpr duration step_duration = std::chrono::milliseconds{100};
// The limit ends at this multiple of the cold rate. It is above any plausible ratio of the rates of a warm
// and a cold target, so that the slots bind first and the end admits no further requests.
constexpr double max_rate_factor = 64;

} // namespace

void cold_start_limit::configure(const cold_start_options& options)
{
    options_ = options;
    configured_ = true;
    if (options_.rate <= 0) {
        starts_.clear();
    }
}

void cold_start_limit::on_new_target(steady_time now)
{
    assumed_since_ = now;
    reports_after_ = {};
    ramp_ = true;
}

void cold_start_limit::expect_cold_start(steady_time now)
{
    assumed_since_ = now;
    reports_after_ = now;
    ramp_ = true;
}

void cold_start_limit::on_report(steady_time cold_until, steady_time reported, steady_time now)
{
    if (reported <= reports_after_) {
        return;
    }
    const bool was_cold = now < cold_end();
    if (cold_until > now) {
        ramp_ = true;
        reported_until_ = cold_until;
    }
    else if (was_cold) {
        // A target that was cold only by assumption needs no ramp: it has been warm all the time.
        ramp_ = !assumed_since_;
        reported_until_ = now;
    }
    else {
        // The cold start has ended by time; the ramp continues.
        reported_until_ = cold_end();
    }
    assumed_since_.reset();
}

steady_time cold_start_limit::cold_end() const
{
    if (!assumed_since_) {
        return reported_until_;
    }
    return *assumed_since_ +
           (options_.cold_duration > duration{} ? options_.cold_duration : default_cold_duration);
}

bool cold_start_limit::cold(steady_time now) const
{
    return options_.rate > 0 && now < cold_end();
}

duration cold_start_limit::cold_left(steady_time now) const
{
    return cold(now) ? cold_end() - now : duration{};
}

std::optional<double> cold_start_limit::rate(steady_time now) const
{
    if (options_.rate <= 0) {
        return std::nullopt;
    }
    if (cold(now)) {
        return options_.rate;
    }
    const auto steps = (now - cold_end()) / step_duration + 1;
    static const auto max_steps =
        static_cast<std::int64_t>(std::log(max_rate_factor) / std::log(step_factor));
    if (!ramp_ || steps > max_steps) {
        return std::nullopt;
    }
    return options_.rate * std::pow(step_factor, static_cast<double>(steps));
}

std::size_t cold_start_limit::bound() const
{
    // A bound below one request would keep the target from ever serving one.
    return static_cast<std::size_t>(std::max(1.0, options_.rate * options_.overage + options_.slack));
}

duration cold_start_limit::time_until_room(steady_time now) const
{
    if (!cold(now) || starts_.size() < bound()) {
        return {};
    }
    return std::max(starts_[starts_.size() - bound()] + window - now, duration{});
}

void cold_start_limit::on_start(steady_time now)
{
    // Until the configuration is known, the requests are recorded in case it sets a rate.
    if (configured_ && options_.rate <= 0) {
        return;
    }
    while (!starts_.empty() && now - starts_.front() >= window) {
        starts_.pop_front();
    }
    starts_.push_back(now);
}

} // namespace wagtailhatch
