#pragma once

#include "include/admission/load_report.h"
#include "include/core/clock.h"
#include "include/routing/load_estimate.h"

#include <cstdint>

namespace wagtailhatch {

/// Outcome of a call that was answered.
enum class call_result : std::uint8_t {
    answered, ///< Executed by the target.
    failed,   ///< Executed; the target reported a failure of its own.
    refused,  ///< Not executed: overload.
    leaving,  ///< Not executed: the instance accepts no new work.
};

/// Outcome of a call that was not answered.
enum class attempt_failure : std::uint8_t {
    not_reached, ///< The instance is unreachable, or has no target that accepts work.
    broken,      ///< The target executed the call, but its answer was lost or corrupted.
    timeout,
    cancelled, ///< By this node; says nothing about the target.
};

struct target_view_options {
    duration max_report_age = std::chrono::seconds{1}; ///< Older reports are ignored.
    duration first_ejection = std::chrono::milliseconds{500};
    duration max_ejection = std::chrono::seconds{10};
    std::uint32_t timeouts_to_eject = 5; ///< Consecutive time-outs.
};

/// State of one target as seen by one sender: its last load report, and outlier ejection from the sender's
/// own observations.
class target_view {
public:
    explicit target_view(const target_view_options& options);

    /// Expected utilisation, as a fraction of the limit, plus penalties for refusals and failures; lower is
    /// better. Outstanding requests of this sender count immediately.
    double score(steady_time now, bool use_reports) const;

    /// Smoothed penalties for refusals and failures, in units of utilisation.
    double penalty() const;

    void on_sent(steady_time now)
    {
        ++outstanding_;
        ++sent_since_report_;
        estimate_.on_sent(now);
    }
    void on_answer(const load_report& report, call_result result, steady_time now);
    void on_failure(attempt_failure failure, bool may_eject, steady_time now);

    /// Records a load report that was not part of an answer.
    void on_report(const load_report& report, steady_time now);

    bool ejected(steady_time now) const { return now < ejected_until_; }
    bool leaving() const { return leaving_; }
    bool reported(steady_time now) const
    {
        return has_report_ && now - report_time_ < options_.max_report_age;
    }
    const load_report& report() const { return report_; }
    const load_estimate& estimate() const { return estimate_; }
    admit_level own_level(steady_time now) const;
    /// Whether the last report contains a pace.
    bool pace_known() const { return has_report_ && report_.pace > 0; }
    std::uint32_t outstanding() const { return outstanding_; }

private:
    void eject(steady_time now);

    target_view_options options_;
    load_report report_;
    load_estimate estimate_;
    steady_time report_time_{};
    steady_time ejected_until_{};
    double refusal_fraction_ = 0; ///< Smoothed fraction of answers that were refusals.
    double failure_fraction_ = 0; ///< Smoothed fraction of answers that were failed, lost or corrupted.
    std::uint32_t outstanding_ = 0;
    std::uint32_t sent_since_report_ = 0;
    std::uint32_t timeouts_ = 0;
    std::uint32_t ejections_ = 0;
    bool has_report_ = false;
    bool leaving_ = false;
};

/// Relaxes a reported level towards everything while no new report refreshes it. age: of the report.
admit_level aged_level(admit_level level, duration age);

} // namespace wagtailhatch
