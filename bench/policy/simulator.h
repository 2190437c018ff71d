#pragma once

#include "bench/policy/simulator_state.h"

namespace wagtailhatch::bench {

/// Discrete-event simulator of callers, network delays and targets with service slots. Admission, load
/// balancing and quarantine are decided by the product's own modules; quota and retry limits by the classes
/// of this folder.
class simulator {
public:
    simulator(const sim_deployment& deployment, const scenario& spec, const variant& policy,
              std::uint64_t seed);
    outcome_counts run();

private:
    // Callers.
    void on_arrival(index workspace);
    void start_attempt(index request);
    void on_attempt(index request);
    void on_attempt_timeout(index request, index attempt);
    void on_reply(index request, index attempt, bool succeeded);
    void reply(index request, bool succeeded);
    double workspace_rate(index workspace) const;
    std::uint8_t draw_route(index workspace);

    // Senders.
    void send(index c);
    void on_answer(index c);
    void on_hop_timeout(index c);
    bool retry_call(index c);
    void complete_call(index request, index parent, bool succeeded);
    void detach(index c);
    balancer& balancer_for(const call& c);
    retry_tokens& lender_of(const call& c);
    index new_call(index request, std::uint8_t hop, index parent, index sender);
    void answer(index c, call_result result, bool not_retryable);
    void cancel(index c, bool timed_out);
    void release(index c);

    // Targets.
    void on_deliver(index c);
    void start_in_target(index c);
    void begin_work(index c);
    void on_work_done(index c);
    void leave_target(index c, call_result result, bool not_retryable);
    void free_slot(index c);
    void poll_admission(index s);
    void on_tick(index s);
    load_report report_of(index s, const call& c);

    // Triggers.
    void schedule_triggers();
    void on_change(index s, server_change change);
    void kill(index s);
    void on_crash(index c);
    void publish_members();
    bool trigger_active() const { return in_trigger(seconds()); }
    bool in_trigger(double at) const;

    // Set-up, events and lookups.
    void make_servers();
    void make_node(server& s);
    void count_first_refusal(index request);
    void push(double delay, event e);
    void dispatch(const event& e);
    double seconds() const { return static_cast<double>(now_) * 1e-9; }
    steady_time now() const { return steady_time{std::chrono::hours{1} + std::chrono::nanoseconds{now_}}; }
    double network_delay(index from, index to) const;
    importance level_of(const caller_request& r) const;
    const sim_route& route_of(const caller_request& r) const { return deployment_.routes[r.route]; }
    int service_of(const call& c) const { return route_of(requests_[c.request]).path[c.hop]; }

    const sim_deployment& deployment_;
    scenario scenario_;
    variant policy_;
    random_source random_;
    random_source node_random_;
    std::int64_t now_ = 0;
    std::uint64_t next_sequence_ = 0;
    std::priority_queue<event> events_;
    std::vector<server> servers_;
    std::vector<caller_request> requests_;
    std::vector<call> calls_;
    std::vector<index> free_calls_;
    std::vector<std::unique_ptr<workspace_quota>> quotas_;
    std::vector<std::string> workspace_names_;
    outcome_counts counts_;
    std::uint64_t last_crash_id_ = 0;
};

} // namespace wagtailhatch::bench
