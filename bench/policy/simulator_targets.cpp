#include "bench/policy/simulator.h"

#include <algorithm>
#include <cmath>

namespace wagtailhatch::bench {
namespace {

/// Seconds until a cold target is warm, and from a crash to the restart.
constexpr double warm_up_time = 3.0;
/// Initial service time of a cold target, as a multiple of a warm target's.
constexpr double initial_cold_factor = 3.0;
constexpr double crash_delay = 0.05; ///< Seconds from the start of a crashing request to the crash.
constexpr double connection_loss_delay = 0.001; ///< Seconds until a sender notices a lost connection.
constexpr double slow_factor = 4.0;             ///< Service time of a slowed target, as a multiple of normal.

} // namespace

void simulator::on_deliver(index c)
{
    auto& k = calls_[c];
    auto& node = servers_[k.server];
    const auto& service = deployment_.services[static_cast<std::size_t>(node.service)];
    const auto& r = requests_[k.request];
    counts_.bottleneck_sent += node.service == deployment_.bottleneck ? 1 : 0;
    if (!node.up) {
        k.connection_lost = true;
        answer(c, call_result::failed, false);
        return;
    }
    if (policy_.quarantine && node.quarantine.remaining_quarantine(std::uint64_t{k.request} + 1, now())) {
        answer(c, call_result::refused, true);
        return;
    }
    if (!policy_.admission) {
        if (node.in_target.size() >= service.connections) {
            answer(c, call_result::refused, false);
            return;
        }
        start_in_target(c);
        return;
    }
    admission_request submitted_request;
    submitted_request.id = c;
    submitted_request.level = level_of(r);
    submitted_request.workspace = workspace_names_[r.workspace];
    submitted_request.deadline =
        policy_.propagate_deadline ? steady_time{std::chrono::hours{1} + std::chrono::nanoseconds{k.deadline}}
                                   : now() + std::chrono::hours{1};
    const auto decision = node.admission->submit(submitted_request, now());
    const auto s = k.server;
    if (decision.what == admission_decision::kind::start) {
        start_in_target(c);
    }
    else if (decision.what == admission_decision::kind::queued) {
        k.state = call_state::queued;
    }
    else {
        answer(c, call_result::refused, decision.reason == refusal_reason::deadline);
    }
    poll_admission(s);
}

void simulator::start_in_target(index c)
{
    auto& k = calls_[c];
    auto& s = servers_[k.server];
    k.state = call_state::running;
    k.started = now_;
    s.in_target.push_back(c);
    if (s.busy_slots < deployment_.services[static_cast<std::size_t>(s.service)].slots) {
        begin_work(c);
    }
    else {
        s.backlog.emplace_back(c, k.generation);
    }
}

void simulator::begin_work(index c)
{
    auto& k = calls_[c];
    auto& s = servers_[k.server];
    ++s.busy_slots;
    k.holds_slot = true;
    counts_.bottleneck_runs += s.service == deployment_.bottleneck ? 1 : 0;
    if (requests_[k.request].poison) {
        push(crash_delay, {.kind = event_kind::crash, .a = c, .generation = k.generation});
        return;
    }
    const double age = s.cold_since < 0 ? warm_up_time : seconds() - s.cold_since;
    const double cold =
        age >= warm_up_time ? 1.0 : initial_cold_factor - (initial_cold_factor - 1) * age / warm_up_time;
    const double mean =
        deployment_.services[static_cast<std::size_t>(s.service)].work * s.service_time_factor * cold;
    push(mean * (0.5 - 0.5 * std::log(1 - random_.unit())),
         {.kind = event_kind::work_done, .a = c, .generation = k.generation});
}

void simulator::on_work_done(index c)
{
    const auto& k = calls_[c];
    const auto hop = static_cast<std::uint8_t>(k.hop + 1);
    if (hop >= route_of(requests_[k.request]).path.size()) {
        leave_target(c, call_result::answered, false);
        return;
    }
    const auto child = new_call(k.request, hop, c, k.server);
    auto& parent = calls_[c];
    calls_[child].deadline = parent.deadline;
    parent.child = child;
    parent.child_started = now_;
    send(child);
}

void simulator::free_slot(index c)
{
    auto& k = calls_[c];
    auto& s = servers_[k.server];
    const auto it = std::find(s.in_target.begin(), s.in_target.end(), c);
    *it = s.in_target.back();
    s.in_target.pop_back();
    if (k.holds_slot) {
        k.holds_slot = false;
        --s.busy_slots;
    }
    if (policy_.admission) {
        s.admission->finish(c, std::chrono::nanoseconds{now_ - k.started - k.time_in_children}, true, now());
    }
    while (s.busy_slots < deployment_.services[static_cast<std::size_t>(s.service)].slots &&
           !s.backlog.empty()) {
        const auto [next, generation] = s.backlog.front();
        s.backlog.pop_front();
        if (calls_[next].generation == generation) {
            begin_work(next);
        }
    }
}

void simulator::leave_target(index c, call_result result, bool not_retryable)
{
    const auto s = calls_[c].server;
    free_slot(c);
    if (result == call_result::answered && scenario_.trigger_kind == trigger::crashing_request) {
        for (auto& node : servers_) {
            node.quarantine.on_finished(std::uint64_t{calls_[c].request} + 1);
        }
    }
    answer(c, result, not_retryable);
    poll_admission(s);
}

void simulator::answer(index c, call_result result, bool not_retryable)
{
    auto& k = calls_[c];
    if (k.detached) {
        release(c);
        return;
    }
    k.state = call_state::answered;
    k.result = result;
    k.not_retryable = not_retryable;
    k.returned_tokens = k.tokens.close();
    if (policy_.admission) {
        k.report = report_of(k.server, k);
    }
    push(network_delay(k.server, k.sender), {.kind = event_kind::answer, .a = c, .generation = k.generation});
}

load_report simulator::report_of(index s, const call& c)
{
    auto& node = servers_[s];
    if (node.frozen) {
        return *node.frozen;
    }
    auto report = node.admission->load(now());
    for (const auto& b : node.balancers) {
        report.path = min(report.path, b->path_pressure(route_of(requests_[c.request]).name, now()));
    }
    return report;
}

void simulator::kill(index s)
{
    auto& node = servers_[s];
    node.up = false;
    crash_report report{++last_crash_id_, {}};
    for (const auto c : node.in_target) {
        report.fingerprints.push_back(std::uint64_t{calls_[c].request} + 1);
    }
    for (auto& other : servers_) {
        other.quarantine.on_target_crash(report, now());
    }
    node.backlog.clear();
    while (!node.in_target.empty()) {
        const auto c = node.in_target.back();
        if (calls_[c].child != no_index) {
            if (policy_.propagate_deadline) {
                cancel(calls_[c].child, false);
            }
            else {
                detach(calls_[c].child);
            }
            calls_[c].child = no_index;
        }
        free_slot(c);
        auto& k = calls_[c];
        ++k.generation; // Invalidates the pending events of the call.
        k.connection_lost = true;
        if (k.detached) {
            release(c);
            continue;
        }
        k.state = call_state::answered;
        push(connection_loss_delay, {.kind = event_kind::answer, .a = c, .generation = k.generation});
    }
    if (policy_.admission) {
        node.admission->set_state(admission_state::down, now());
        poll_admission(s);
    }
}

void simulator::on_crash(index c)
{
    ++counts_.target_crashes;
    const auto s = calls_[c].server;
    kill(s);
    push(warm_up_time,
         {.kind = event_kind::change, .a = s, .b = static_cast<index>(server_change::restart_cold)});
}

void simulator::on_change(index s, server_change change)
{
    auto& node = servers_[s];
    switch (change) {
    case server_change::slow:
        node.service_time_factor = slow_factor;
        break;
    case server_change::normal_speed:
        node.service_time_factor = 1;
        break;
    case server_change::freeze:
        node.frozen = node.admission->load(now());
        break;
    case server_change::thaw:
        node.frozen.reset();
        break;
    case server_change::kill:
        kill(s);
        break;
    case server_change::restart_cold:
    case server_change::replace_cold:
        node.up = true;
        ++node.incarnation;
        node.cold_since = seconds();
        node.admission->set_state(admission_state::cold, now());
        publish_members();
        push(warm_up_time,
             {.kind = event_kind::change, .a = s, .b = static_cast<index>(server_change::warm)});
        break;
    case server_change::warm:
        if (node.up) {
            node.admission->set_state(admission_state::ready, now());
        }
        break;
    case server_change::poison: {
        caller_request r;
        r.first_sent = seconds();
        r.poison = true;
        requests_.push_back(r);
        start_attempt(static_cast<index>(requests_.size() - 1));
        break;
    }
    }
}

void simulator::schedule_triggers()
{
    const auto at = [this](double time, index s, server_change change) {
        push(time, {.kind = event_kind::change, .a = s, .b = static_cast<index>(change)});
    };
    for (int i = 0; i < 2; ++i) {
        const double start = scenario_.start_of(i);
        const double end = scenario_.end_of(i);
        int previous_service = -1;
        for (index s = 0; s < servers_.size(); ++s) {
            const bool first = servers_[s].service != previous_service;
            previous_service = servers_[s].service;
            const bool is_bottleneck = servers_[s].service == deployment_.bottleneck;
            const auto trigger_kind = scenario_.trigger_kind;
            if (is_bottleneck &&
                (trigger_kind == trigger::slow_bottleneck || trigger_kind == trigger::slow_and_surge ||
                 (trigger_kind == trigger::frozen_reports && first))) {
                at(start, s, server_change::slow);
                at(end, s, server_change::normal_speed);
            }
            if (trigger_kind == trigger::frozen_reports) {
                at(start, s, server_change::freeze);
                at(end, s, server_change::thaw);
            }
            if (trigger_kind == trigger::killed && first) {
                at(start, s, server_change::kill);
                at(end, s, server_change::restart_cold);
            }
            if (trigger_kind == trigger::replaced_cold && s % 3 == 0) {
                at(start, s, server_change::replace_cold);
            }
        }
        if (scenario_.trigger_kind == trigger::crashing_request && i == 0) {
            at(start, 0, server_change::poison);
        }
    }
}

} // namespace wagtailhatch::bench
