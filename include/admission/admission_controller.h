#pragma once

#include "include/admission/cold_start_limit.h"
#include "include/admission/concurrency_limit.h"
#include "include/admission/load_report.h"
#include "include/admission/request_queue.h"
#include "include/admission/request_rate_limit.h"
#include "include/admission/shed_controller.h"
#include "include/core/refusal_reason.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace wagtailhatch {

enum class admission_state : std::uint8_t {
    down, ///< Not registered, or unreachable. Every request is rejected.
    cold, ///< Just started: the limit and the latency measurements of the previous run are reset.
    ready,
    draining,  ///< Requests in flight continue; queued and new requests are rejected.
    evacuated, ///< As draining, but with refusal_reason::evacuated: the operators may end it at any time.
};

struct admission_options {
    concurrency_limit_options limit;
    request_queue_options queue;
    shed_controller_options shedding;
    bool queueing = true;       ///< If false, requests above the limit are rejected immediately.
    bool deadline_aware = true; ///< Rejects requests that cannot finish by their deadline.
};

/// A request submitted for admission.
struct admission_request {
    std::uint64_t id = 0; ///< Unique among the requests in flight and queued in this controller.
    importance level = importance::normal;
    std::string_view workspace; ///< Need not outlive submit().
    steady_time deadline{};
    /// A response after it is late, but still of use to the caller; default: there is only `deadline`.
    steady_time soft_deadline{};
    duration service_time{}; ///< Expected time in the target; zero: the mean of all requests is assumed.
};

struct admission_decision {
    enum class kind : std::uint8_t { start, queued, refused };
    kind what = kind::refused;
    refusal_reason reason = refusal_reason::none; ///< Set for kind::refused.
    duration retry_after{}; ///< Set for kind::refused: estimated wait until a retry may be admitted.
};

/// A request that was queued and then rejected without having been started.
struct late_refusal {
    std::uint64_t id = 0;
    refusal_reason reason = refusal_reason::overload;
};

/// Decisions on queued requests since the previous poll().
struct admission_events {
    std::vector<std::uint64_t> start;
    std::vector<late_refusal> refuse;
};

/// Admission control for one target: a concurrency limit, a bounded priority queue and load shedding.
/// Not thread-safe; the caller passes the current time. Call poll() after submit(), finish(), cancel() and
/// set_state(), and every few milliseconds while requests are queued, and act on the events it returns.
class admission_controller {
public:
    explicit admission_controller(const admission_options& options);

    /// Relative share of a workspace under overload, 1 by default; intended to be the workspace's rate limit.
    void set_weight(std::string_view workspace, double weight) { queue_.set_weight(workspace, weight); }

    /// Starts, queues or rejects a request. A request that is started is not listed by poll() again.
    admission_decision submit(const admission_request& request, steady_time now);

    /// Reports the end of a started request. `own_latency` is the time in the target without its downstream
    /// calls. `success` is false for failures that indicate target overload (its own 503, time-outs). Has no
    /// effect if no started request has this id.
    void finish(std::uint64_t id, duration own_latency, bool success, steady_time now);

    /// Cancels a request whose caller has disconnected. Returns true if it was queued: it is removed and is
    /// never started. A started request keeps its slot until finish().
    bool cancel(std::uint64_t id);

    /// Returns the queued requests to start and to reject now. The result is valid until the next poll().
    const admission_events& poll(steady_time now);

    load_report load(steady_time now);

    /// Requests per second that the target serves at its concurrency limit, or its named rate if that is
    /// lower; 0 before the first measurement without a named rate.
    double capacity() const;
    /// Estimated demand of each class, in requests per second.
    const std::array<double, importance_count>& demand() const { return shedding_.demand(); }

    void set_state(admission_state state, steady_time now);
    admission_state state() const { return state_; }

    /// Whether the target announces a pace. Then requests and calls of chains of the same class lose the same
    /// fraction.
    void set_pace_known(bool known) { shedding_.set_equal_shares(known); }

    /// Sets the configured number of service slots; with 0 the limit adapts to the measured latency. Resets
    /// the concurrency limit if the number changed.
    void set_slots(std::uint32_t slots);

    /// Sets the rate, in requests per second, that the target named in its last response; nothing if it
    /// named none. Requests above the rate wait in the queue.
    void set_rate_limit(std::optional<double> per_second, steady_time now);

    /// The rate in requests per second that the target named; 0 if it named none.
    double named_rate_limit() const { return named_rate_.value_or(0); }

    /// The enforced rate in requests per second, the lower of the named one and that of a cold target; 0 if
    /// there is no limit.
    double rate_limit() const { return rate_.per_second().value_or(0); }

    /// Limit for a cold target. Its changes take effect at the next submit(), poll() or load().
    cold_start_limit& cold_start() { return cold_; }
    const cold_start_limit& cold_start() const { return cold_; }

    /// Number of slots that the target itself reports. The report may be stale or wrong, so it only sets the
    /// limit before the first request has finished, and never above the configured maximum.
    void hint_capacity(std::uint32_t slots);

private:
    struct running {
        steady_time started{};
    };

    admission_decision refuse(refusal_reason reason, steady_time now);
    bool may_start(steady_time now);
    /// Joins the named rate and the rate of a cold target.
    void update_rate(steady_time now);
    admission_decision enqueue(const admission_request& request, steady_time now);
    void start(std::uint64_t id, steady_time now);
    void start_queued(steady_time now);
    void sweep(steady_time now);
    /// Queueing time of a new request; `late` if it would miss its soft deadline.
    duration estimate_wait(importance level, bool late, steady_time now);
    std::uint32_t reported_limit(steady_time now) const;
    std::size_t queue_bound() const;
    std::uint32_t limit() const;

    admission_options options_;
    std::uint32_t slots_ = 0;
    concurrency_limit limit_;
    request_rate_limit rate_;
    std::optional<double> named_rate_;
    std::optional<double> enforced_rate_; ///< The rate that was set last.
    cold_start_limit cold_;
    request_queue queue_;
    shed_controller shedding_;
    admission_state state_ = admission_state::down;
    std::unordered_map<std::uint64_t, running> running_;
    double mean_latency_ = 0; ///< Seconds in the target including downstream calls; 0: not measured.
    std::uint64_t finished_ = 0;
    steady_time last_sweep_{};
    admission_events events_;
    admission_events pending_;
    std::vector<queued_request> expired_;
    std::vector<queued_request> aged_;
};

} // namespace wagtailhatch
