#pragma once

#include "include/admission/admission_controller.h"
#include "include/admission/crash_quarantine.h"
#include "include/admission/target_pace.h"
#include "include/call/header_codec.h"
#include "include/call/service_call.h"
#include "include/core/clock.h"
#include "include/membership/target_state.h"
#include "src/http1/target_pool.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace wagtailhatch {

class dispatched_call;

struct target_dispatcher_options {
    std::string service;
    asio::ip::tcp::endpoint target;
    admission_options admission;
};

/// Dispatcher for the local target. The calls of all nodes pass through it: it applies admission control,
/// sends them and validates the responses. Not thread-safe.
class target_dispatcher {
public:
    target_dispatcher(asio::io_context& io, const clock& time, const header_codec& codec,
                      target_dispatcher_options options);
    ~target_dispatcher();
    target_dispatcher(const target_dispatcher&) = delete;
    target_dispatcher& operator=(const target_dispatcher&) = delete;

    /// Starts, queues or rejects a call. The sink is never called from within start().
    std::shared_ptr<call_handle> start(service_call call, std::shared_ptr<reply_sink> sink);

    /// Rejects a call as not run. The sink is never called from within reject().
    std::shared_ptr<call_handle> reject(service_call call, std::shared_ptr<reply_sink> sink,
                                        refusal_reason reason);

    /// Applies a change of the target's announced state.
    void set_target(const target_state& target);
    const target_state& target() const { return target_; }

    /// Sets the limit for a cold target.
    void set_cold_start(const cold_start_options& options);

    /// Treats the target as cold until it says otherwise in a message that this node receives after this
    /// call, or until a cold start that begins now would have ended. To be called when the target may have
    /// become cold without this node's knowledge, as after an evacuation.
    void expect_cold_start();

    /// Limit for a cold target and what is known about its cold start.
    const cold_start_limit& cold_start() const { return admission_.cold_start(); }

    /// Returns the number of cold starts since the previous call.
    std::uint64_t take_cold_starts() { return std::exchange(cold_starts_, 0); }
    /// Whether the operators have evacuated the target's data centre: new and queued calls are refused as not
    /// run, calls in flight end normally.
    void set_evacuated(bool evacuated);

    /// Load report for responses on the given route; without the downstream part if `route` is empty.
    load_report load(std::string_view route = {});

    /// The request with this id that is in flight at the target; nullptr if there is none.
    const service_call* running(const std::string& id) const;

    /// Sets the source of the admission level of the services that the target calls on a route.
    void set_path_pressure(std::function<admit_level(std::string_view route)> pressure)
    {
        path_pressure_ = std::move(pressure);
    }

    /// Sets a callback that receives, for each call sent, the time from its arrival until it was sent.
    void on_sent(std::function<void(duration waited)> callback) { sent_callback_ = std::move(callback); }

    /// Reports the end of a downstream call that the target made for the request `parent`.
    void on_downstream_call_end(const std::string& parent, bool failed);

    /// Sets a callback that receives the fingerprints that were in flight when the target crashed.
    void on_target_crash(std::function<void(const crash_report&)> callback)
    {
        crash_callback_ = std::move(callback);
    }
    crash_quarantine& quarantine() { return quarantine_; }

    /// Sets a callback that receives the id of the target when a response says that it leaves.
    void on_target_leaving(std::function<void(const std::string& id)> callback)
    {
        leaving_callback_ = std::move(callback);
    }

    /// Whether the target accepts new calls.
    bool accepts_calls() const { return !down_ && target_.phase == target_phase::ready; }

    std::size_t in_progress() const { return calls_.size(); }

    /// Requests per second that the target serves at its concurrency limit; 0 before the first measurement.
    double capacity() const { return admission_.capacity(); }
    /// From now on, a target that announces no pace counts as running at its usual one. To be called once
    /// targets of other services announce one: load is then balanced and shed alike in all services of a
    /// chain.
    void assume_usual_pace() { assumes_usual_pace_ = true; }

    /// Speed of the target's current incarnation.
    const target_pace& speed() const { return speed_; }
    /// Number of invalid paces that targets have announced since the start.
    std::uint64_t invalid_paces() const { return invalid_paces_; }

    /// Estimated demand of each class in requests per second, formatted for logs.
    std::string format_demand() const;
    /// Closes expired idle connections and aborts abandoned requests. Call several times per second.
    void sweep();
    const target_pool& pool() const { return pool_; }

private:
    friend class dispatched_call;

    /// With a known pace, requests may be late, and are queued by when they can be answered. Otherwise their
    /// soft deadline is their deadline.
    admission_request make_admission_request(std::uint64_t id, const service_call& call,
                                             steady_time now) const;
    void post_refusal(const std::shared_ptr<dispatched_call>& call, refusal_reason reason,
                      duration retry_after);
    void apply_target();
    void run_admission();
    void schedule_poll();
    /// Frees the slot of a call on which the target has ended its work. `success` is passed to the admission
    /// controller.
    void finished(dispatched_call& call, bool success);
    /// Removes a cancelled call that has not been sent.
    void withdraw(dispatched_call& call);
    void record_lost_connection(std::uint64_t fingerprint);
    /// Applies what the target says about itself in a response.
    void on_response_metadata(const response_metadata& metadata);
    void adopt_rate_limit(double per_second);
    void log_speed_change(speed_change change);
    void mark_target_down();
    void update_cold_start(const target_state& before, bool was_down);
    /// Counts and logs that the target has become cold or warm.
    void record_cold_start();

    asio::io_context& io_;
    const clock& time_;
    const header_codec& codec_;
    target_dispatcher_options options_;
    target_pool pool_;
    admission_controller admission_;
    crash_quarantine quarantine_;
    target_pace speed_;
    std::uint64_t invalid_paces_ = 0;
    bool assumes_usual_pace_ = false;
    target_state target_;
    std::unordered_map<std::uint64_t, std::shared_ptr<dispatched_call>> calls_;
    std::unordered_map<std::string, dispatched_call*> running_;
    std::function<admit_level(std::string_view route)> path_pressure_;
    std::uint64_t last_id_ = 0;
    asio::steady_timer poll_timer_;
    bool poll_scheduled_ = false;
    bool admitting_ = false;
    steady_time last_downstream_failure_{}; ///< Time of the last failure of a downstream call of the target.
    bool response_seen_ = false;            ///< The target's current incarnation has answered this node.
    bool cold_ = false;                     ///< As last logged.
    std::uint64_t cold_starts_ = 0;
    bool evacuated_ = false;
    bool down_ = false; ///< The target refused a connection and has not announced itself since.
    struct lost_request {
        std::uint64_t fingerprint = 0;
        steady_time at{};
    };
    std::vector<lost_request> lost_requests_; ///< Requests whose connection was lost within crash_window.
    std::function<void(const crash_report&)> crash_callback_;
    std::function<void(const std::string& id)> leaving_callback_;
    std::function<void(duration waited)> sent_callback_;
};

} // namespace wagtailhatch
