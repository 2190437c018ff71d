#include "include/routing/load_estimate.h"

#include <algorithm>
#include <cmath>

namespace wagtailhatch {
namespace {

// Time constant of a report's weight relative to the service time. The other senders also choose the less
// utilised targets, so a difference between targets shrinks faster than its requests leave.
constexpr double report_lifetime_factor = 0.3;
constexpr double mean_smoothing_seconds = 1;
// Weight of the target's own mean against the service's. It shows lasting differences, for example of a
// target that only a part of the senders can reach.
constexpr double own_mean_weight = 0.5;
// Weights of an answer in the smoothed fraction of contradictions. They are asymmetric, because a target
// whose reports show too little load refuses only a part of its requests.
constexpr double contradiction_rise = 0.5;
constexpr double contradiction_fall = 0.1;
// Senders with few answers trust a target again after some seconds.
constexpr double contradiction_lifetime_seconds = 3;

double remaining_share(duration elapsed, double time_constant)
{
    return std::exp(-std::max(0.0, to_seconds(elapsed)) / time_constant);
}

} // namespace

void load_estimate::on_report(const load_report& report, steady_time now)
{
    contradiction_ *= remaining_share(now - reported_, contradiction_lifetime_seconds);
    const double old =
        reported_ == steady_time{} ? 0 : remaining_share(now - reported_, mean_smoothing_seconds);
    reported_ = now;
    load_ = static_cast<double>(report.in_flight) + report.queued;
    limit_ = report.limit;
    pace_known_ = report.pace > 0;
    service_time_ = pace_known_ ? to_seconds(report.service_time) : 0;
    sent_ = 0;
    if (limit_ > 0) {
        mean_utilisation_ = mean_utilisation_ * old + load_ / limit_ * (1 - old);
    }
}

void load_estimate::on_sent(steady_time now)
{
    if (service_time_ > 0) {
        sent_ *= remaining_share(now - last_sent_, service_time_);
    }
    sent_ += 1;
    last_sent_ = now;
}

void load_estimate::on_result(bool refused)
{
    if (!refused) {
        contradiction_ -= contradiction_ * contradiction_fall;
    }
    else if (load_ < limit_) {
        contradiction_ += (1 - contradiction_) * contradiction_rise;
    }
}

double load_estimate::report_weight(steady_time now, const load_prior& prior) const
{
    if (!fresh(now) || limit_ <= 0) {
        return 0;
    }
    return remaining_share(now - reported_, service_time(prior) * report_lifetime_factor) *
           (1 - contradiction_);
}

double load_estimate::expected_utilisation(steady_time now, const load_prior& prior) const
{
    if (!fresh(now)) {
        return prior.utilisation;
    }
    const double weight =
        own_mean_weight * (1 - contradiction_) * remaining_share(now - reported_, mean_smoothing_seconds);
    return prior.utilisation + (mean_utilisation_ - prior.utilisation) * weight;
}

double load_estimate::in_progress(steady_time now, const load_prior& prior) const
{
    const double weight = report_weight(now, prior);
    const double sent = sent_ > 0 ? sent_ * remaining_share(now - last_sent_, service_time(prior)) : 0;
    return load_ * weight + expected_utilisation(now, prior) * limit(prior) * (1 - weight) + sent;
}

} // namespace wagtailhatch
