#include "include/routing/target_view.h"

#include <algorithm>

namespace wagtailhatch {
namespace {

// Weight of one answer in the smoothed fraction of refusals.
constexpr double refusal_smoothing = 0.1;
constexpr double failure_smoothing = 0.05;
// A target that fails requests quickly appears idle; its failures count as this much utilisation.
constexpr double failure_weight = 2.0;
// Concurrency limit assumed for a target that has not reported yet.
constexpr double assumed_limit = 20;
constexpr std::uint32_t max_ejection_doublings = 8;
// A reported level is held for this long, in seconds, and then relaxes by this much per second.
constexpr double level_hold_seconds = 0.3;
constexpr double level_relaxation_per_second = 4.0;

} // namespace

admit_level aged_level(admit_level level, duration age)
{
    const double old = std::max(0.0, to_seconds(age) - level_hold_seconds);
    return level.raised(old * level_relaxation_per_second);
}

target_view::target_view(const target_view_options& options)
    : options_{options}
    , estimate_{options.max_report_age}
{
}

double target_view::penalty() const
{
    return refusal_fraction_ + failure_weight * failure_fraction_;
}

double target_view::score(steady_time now, bool use_reports) const
{
    const double limit = report_.limit > 0 ? report_.limit : assumed_limit;
    double load = outstanding_;
    if (use_reports && reported(now)) {
        load = std::max<double>(outstanding_,
                                static_cast<double>(report_.in_flight) + report_.queued + sent_since_report_);
    }
    return (load + 1) / limit + penalty();
}

admit_level target_view::own_level(steady_time now) const
{
    return has_report_ ? aged_level(report_.own, now - report_time_) : admit_level{};
}

void target_view::on_answer(const load_report& report, call_result result, steady_time now)
{
    outstanding_ -= outstanding_ > 0 ? 1 : 0;
    report_ = report;
    estimate_.on_report(report, now);
    estimate_.on_result(result == call_result::refused);
    report_time_ = now;
    has_report_ = true;
    sent_since_report_ = 0;
    timeouts_ = 0;
    leaving_ = leaving_ || result == call_result::leaving;
    refusal_fraction_ +=
        ((result == call_result::refused ? 1.0 : 0.0) - refusal_fraction_) * refusal_smoothing;
    failure_fraction_ +=
        ((result == call_result::failed ? 1.0 : 0.0) - failure_fraction_) * failure_smoothing;
    if (result == call_result::answered) {
        ejections_ = 0;
    }
}

void target_view::on_report(const load_report& report, steady_time now)
{
    report_ = report;
    estimate_.on_report(report, now);
    report_time_ = now;
    has_report_ = true;
    sent_since_report_ = 0;
}

void target_view::on_failure(attempt_failure failure, bool may_eject, steady_time now)
{
    outstanding_ -= outstanding_ > 0 ? 1 : 0;
    if (failure == attempt_failure::cancelled) {
        return;
    }
    if (failure == attempt_failure::broken) {
        failure_fraction_ += (1.0 - failure_fraction_) * failure_smoothing;
        return;
    }
    timeouts_ += failure == attempt_failure::timeout ? 1 : 0;
    const bool should_eject =
        failure == attempt_failure::not_reached || timeouts_ >= options_.timeouts_to_eject;
    if (should_eject && may_eject && !ejected(now)) {
        eject(now);
    }
}

void target_view::eject(steady_time now)
{
    const auto doubled = options_.first_ejection * (1 << std::min(ejections_, max_ejection_doublings));
    ejected_until_ = now + std::min<duration>(doubled, options_.max_ejection);
    ++ejections_;
    timeouts_ = 0;
    has_report_ = false;
    estimate_.discard_report();
}

} // namespace wagtailhatch
