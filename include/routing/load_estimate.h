#pragma once

#include "include/admission/load_report.h"
#include "include/core/clock.h"

namespace wagtailhatch {

/// Usual values of a service's targets, used where a target's own are unknown.
struct load_prior {
    double utilisation = 0;     ///< Mean requests in progress as a fraction of the limit.
    double limit = 20;          ///< Mean concurrency limit.
    double service_time = 0.05; ///< Mean service time in seconds.
};

/// Estimate of one target's requests in progress, projected forward from its last report. The reported
/// requests leave; requests at the expected utilisation, between the service's mean and the target's own
/// recent mean, take their place. Requests that this sender has sent since the report are added.
class load_estimate {
public:
    /// max_age: age from which a report's load and pace are ignored. Its limit and service time stay in use.
    explicit load_estimate(duration max_age)
        : max_age_{max_age}
    {
    }

    void on_report(const load_report& report, steady_time now);
    void on_sent(steady_time now);

    /// Records, after the report of an answer, whether the answer was a refusal for overload. A refusal with
    /// a report of free slots contradicts the report; reports of such a target lose weight.
    void on_result(bool refused);

    /// Ignores the load of the last report, for example because the target could not be reached.
    void discard_report() { reported_ = {}; }

    /// Whether the last report contains a pace and is not too old.
    bool has_pace(steady_time now) const { return pace_known_ && fresh(now); }

    /// Weight of the last report's load, from 1 (just received) to 0 (too old, or without a limit).
    double report_weight(steady_time now, const load_prior& prior) const;

    /// Requests in progress and queued in the last report.
    double reported_load() const { return load_; }

    /// Expected requests in progress and queued now.
    double in_progress(steady_time now, const load_prior& prior) const;

    double limit(const load_prior& prior) const { return limit_ > 0 ? limit_ : prior.limit; }
    bool knows_limit() const { return limit_ > 0; }

    /// Seconds from sending a request until its response, without queueing.
    double service_time(const load_prior& prior) const
    {
        return service_time_ > 0 ? service_time_ : prior.service_time;
    }
    bool knows_service_time() const { return service_time_ > 0; }

private:
    bool fresh(steady_time now) const { return reported_ != steady_time{} && now - reported_ < max_age_; }
    double expected_utilisation(steady_time now, const load_prior& prior) const;

    duration max_age_;
    steady_time reported_{}; ///< Time of the last report; steady_time{}: none.
    steady_time last_sent_{};
    double load_ = 0;
    double limit_ = 0;            ///< 0: unknown.
    double service_time_ = 0;     ///< Seconds; 0: unknown.
    double sent_ = 0;             ///< Of those sent since the report, the expected rest at last_sent_.
    double mean_utilisation_ = 0; ///< Smoothed utilisation of the reports.
    double contradiction_ = 0;    ///< Smoothed fraction of answers that contradict their report.
    bool pace_known_ = false;
};

} // namespace wagtailhatch
