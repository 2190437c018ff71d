#pragma once

#include "include/admission/admission_controller.h"
#include "include/admission/crash_quarantine.h"
#include "include/config/configuration.h"
#include "include/core/clock.h"
#include "include/core/random_source.h"
#include "include/http/http_client.h"
#include "src/node/call_message.h"
#include "src/node/handle_table.h"
#include "src/node/target_link.h"

#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace wagtailhatch {

class call_router;

/// Admits calls for this node's target and runs them there. Traffic thread only.
class call_server {
public:
    using respond = std::function<void(call_reply)>;

    struct hooks {
        std::function<void(bool ready, bool draining)> target_changed;
        std::function<void(const death_report&)> target_died;   ///< Tell the service's other nodes.
        std::function<void(std::uint64_t fingerprint)> cleared; ///< Tell the service's other nodes.
        std::function<void(const call_context&, steady_time started, const call_reply&)>
            served; ///< For spans.
    };

    call_server(asio::io_context& io, const clock& time, random_source& random, http_client& client,
                call_router& router, std::string service, hooks h);
    ~call_server();
    call_server(const call_server&) = delete;
    call_server& operator=(const call_server&) = delete;

    void set_configuration(std::shared_ptr<const configuration> config);

    /// Runs the call or refuses it. Returns what cancels it.
    std::function<void()> submit(call_message message, respond done);

    result<bool> announce(const target_announcement& a);
    handle_table& handles() { return handles_; }

    /// Death reports and clearances from the service's other nodes.
    crash_quarantine& quarantine() { return quarantine_; }

    /// From now on every new call is refused as leaving; those queued and in flight end as usual.
    void leave();
    bool idle() const { return calls_.empty(); }
    std::size_t in_flight() const { return calls_.size(); }
    load_report load() { return admission_.load(clock_.now()); }
    link_state target_state() const { return link_.state(); }

    /// Runs what is due; called each second by its own timer too.
    void check_target();

private:
    struct served_call;
    using call_ptr = std::shared_ptr<served_call>;

    void run(const call_ptr& c);
    void on_result(const call_ptr& c, http_result r);
    void on_failure(const call_ptr& c, const http_result& r);
    void cancel(std::uint64_t id);
    void end(const call_ptr& c, call_reply reply);
    void refuse(const call_ptr& c, refusal_reason reason, duration retry_after);
    void act();
    void arm_poll();
    void arm_check();
    void suspect_death(const call_ptr& c);
    void probe_target();
    void report_death();
    void target_gone();
    call_reply make_reply(const served_call& c, outcome what, refusal_reason reason);

    asio::steady_timer poll_timer_;
    asio::steady_timer check_timer_;
    const clock& clock_;
    random_source& random_;
    http_client& client_;
    call_router& router_;
    std::string service_;
    hooks hooks_;
    std::shared_ptr<const configuration> config_;
    target_link link_;
    admission_controller admission_;
    crash_quarantine quarantine_;
    handle_table handles_;
    std::unordered_map<std::uint64_t, call_ptr> calls_;
    std::uint64_t next_id_ = 1;
    bool leaving_ = false;
    bool poll_armed_ = false;
    bool probing_ = false;
    struct lost_call {
        std::uint64_t fingerprint;
        steady_time at;
    };
    std::vector<lost_call> recently_lost_; ///< Calls whose connection broke, until the probe tells why.
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace wagtailhatch
