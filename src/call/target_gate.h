#pragma once

#include "include/admission/admission_controller.h"
#include "include/admission/crash_quarantine.h"
#include "include/call/caller_dialect.h"
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
#include <vector>

namespace wagtailhatch {

class gate_call;

struct target_gate_options {
    std::string service;
    asio::ip::tcp::endpoint target;
    admission_options admission;
};

/// The only way to the target beside this node: admits calls of all nodes, sends them and checks the answers.
/// One thread.
class target_gate {
public:
    target_gate(asio::io_context& io, const clock& time, const caller_dialect& dialect,
                target_gate_options options);
    ~target_gate();
    target_gate(const target_gate&) = delete;
    target_gate& operator=(const target_gate&) = delete;

    /// Starts, queues or refuses a call. Nothing is reported to the sink from within this call.
    std::shared_ptr<call_handle> start(service_call call, std::shared_ptr<reply_sink> sink);

    /// What the target says of itself has changed.
    void set_target(const target_state& target);
    const target_state& target() const { return target_; }

    /// For answers to requests of that chain; empty: without the pressure further down.
    load_report load(std::string_view route = {});

    /// The request with that id that runs at the target now; nullptr if there is none.
    const service_call* running(const std::string& id) const;

    /// Pressure of the services that the target calls for requests of a route.
    void set_path_pressure(std::function<admit_level(std::string_view route)> pressure)
    {
        path_pressure_ = std::move(pressure);
    }

    /// Runs with the time from a call's arrival to its sending, for each call that is sent.
    void on_sent(std::function<void(duration waited)> callback) { sent_callback_ = std::move(callback); }

    /// A call that the target made for the request `parent` has ended.
    void on_own_call(const std::string& parent, bool failed);

    /// Runs with the fingerprints that were in flight when the target died.
    void on_death(std::function<void(const death_report&)> callback)
    {
        death_callback_ = std::move(callback);
    }
    crash_quarantine& quarantine() { return quarantine_; }

    /// Whether new calls may start.
    bool takes_work() const { return !down_ && target_.phase == target_phase::ready; }

    std::size_t in_progress() const { return calls_.size(); }

    /// Requests a second that the target serves at its limit.
    double capacity() const { return admission_.capacity(); }
    /// Estimated demand of each class, for logs.
    std::string demand_text() const;
    /// Ends what has outlived its time: idle connections and requests that nobody waits for. To be called
    /// several times a second.
    void sweep();
    const target_pool& pool() const { return pool_; }

private:
    friend class gate_call;

    void refuse_later(const std::shared_ptr<gate_call>& call, refusal_reason reason, duration retry_after);
    void apply_target();
    void run_admission();
    void schedule_poll();
    /// The target has ended its work on the call; success: it coped.
    void finished(gate_call& call, bool success);
    /// A call that was not sent is no longer wanted.
    void withdraw(gate_call& call);
    void note_lost_connection(std::uint64_t fingerprint);
    void note_target_down();

    asio::io_context& io_;
    const clock& time_;
    const caller_dialect& dialect_;
    target_gate_options options_;
    target_pool pool_;
    admission_controller admission_;
    crash_quarantine quarantine_;
    target_state target_;
    std::unordered_map<std::uint64_t, std::shared_ptr<gate_call>> calls_;
    std::unordered_map<std::string, gate_call*> running_;
    std::function<admit_level(std::string_view route)> path_pressure_;
    std::uint64_t last_id_ = 0;
    asio::steady_timer poll_timer_;
    bool poll_scheduled_ = false;
    bool admitting_ = false;
    steady_time own_call_failed_{}; ///< Last failure of a call that the target made.
    bool down_ = false; ///< Nobody listens at the target's address; until it announces itself again.
    struct lost_run {
        std::uint64_t fingerprint = 0;
        steady_time at{};
    };
    std::vector<lost_run> lost_runs_; ///< Whose connection ended without an answer a moment ago.
    std::function<void(const death_report&)> death_callback_;
    std::function<void(duration waited)> sent_callback_;
};

} // namespace wagtailhatch
