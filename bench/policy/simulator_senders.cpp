#include "bench/policy/simulator.h"

#include <cmath>

namespace wagtailhatch::bench {
namespace {

constexpr double hop_timeout = 1.0; ///< Seconds; used if deadlines are not propagated.

} // namespace

balancer& simulator::balancer_for(const call& c)
{
    return *servers_[c.sender].balancers[static_cast<std::size_t>(service_of(c))];
}

retry_tokens& simulator::lender_of(const call& c)
{
    return c.parent == no_index ? requests_[c.request].tokens : calls_[c.parent].tokens;
}

index simulator::new_call(index request, std::uint8_t hop, index parent, index sender)
{
    if (free_calls_.empty()) {
        free_calls_.push_back(static_cast<index>(calls_.size()));
        calls_.emplace_back();
    }
    const auto c = free_calls_.back();
    free_calls_.pop_back();
    const auto generation = calls_[c].generation;
    calls_[c] = call{};
    auto& k = calls_[c];
    k.generation = generation;
    k.state = call_state::sent;
    k.request = request;
    k.hop = hop;
    k.parent = parent;
    k.sender = sender;
    return c;
}

void simulator::release(index c)
{
    ++calls_[c].generation;
    calls_[c].state = call_state::free;
    free_calls_.push_back(c);
}

void simulator::send(index c)
{
    auto& k = calls_[c];
    auto& load_balancer = balancer_for(k);
    const auto pick = load_balancer.pick(now(), k.tried_targets);
    if (pick.target == nullptr) {
        const auto request = k.request;
        const auto parent = k.parent;
        release(c);
        complete_call(request, parent, false);
        return;
    }
    const auto loan = lender_of(k).lend();
    k.loan = loan.id;
    k.tokens = retry_tokens{loan.tokens};
    k.server = static_cast<index>(std::stoul(pick.target->address));
    k.sent = now_;
    load_balancer.on_sent(pick.target->id, now());
    push(network_delay(k.sender, k.server),
         {.kind = event_kind::deliver, .a = c, .generation = k.generation});
    if (!policy_.propagate_deadline) {
        push(hop_timeout, {.kind = event_kind::hop_timeout, .a = c, .generation = k.generation});
    }
}

void simulator::on_answer(index c)
{
    auto& k = calls_[c];
    auto& load_balancer = balancer_for(k);
    const auto& id = servers_[k.server].id;
    if (k.connection_lost) {
        load_balancer.on_failure(id, attempt_failure::not_reached, now());
        lender_of(k).write_off(k.loan);
    }
    else {
        load_balancer.on_answer(id, k.report, {route_of(requests_[k.request]).name, k.hop, k.result}, now());
        lender_of(k).return_tokens(k.loan, k.returned_tokens);
    }
    const bool succeeded = !k.connection_lost && k.result == call_result::answered;
    const auto request = k.request;
    const auto parent = k.parent;
    if (!succeeded && k.parent == no_index && k.result == call_result::refused) {
        count_first_refusal(request);
    }
    if (succeeded || !retry_call(c)) {
        release(c);
        complete_call(request, parent, succeeded);
    }
    else {
        release(c);
    }
}

bool simulator::retry_call(index c)
{
    const auto& k = calls_[c];
    auto& node = servers_[k.sender];
    if (policy_.hop_retries > 0) {
        if (k.retries >= policy_.hop_retries || (policy_.throttle && !node.throttle.try_retry())) {
            return false;
        }
    }
    else {
        const bool unsafe = k.connection_lost && route_of(requests_[k.request]).run_once;
        auto& tokens = lender_of(k);
        if (k.not_retryable || unsafe || tokens.available() == 0 ||
            (policy_.throttle && !node.throttle.try_retry())) {
            return false;
        }
        tokens.spend();
    }
    const auto next = new_call(k.request, k.hop, k.parent, k.sender);
    const auto& old = calls_[c];
    auto& retry = calls_[next];
    retry.tried_targets = old.tried_targets;
    retry.tried_targets.push_back(servers_[old.server].id);
    retry.retries = static_cast<std::uint8_t>(old.retries + 1);
    retry.deadline = old.deadline;
    if (old.parent == no_index) {
        requests_[old.request].root = next;
    }
    else {
        calls_[old.parent].child = next;
    }
    send(next);
    return true;
}

void simulator::complete_call(index request, index parent, bool succeeded)
{
    if (parent == no_index) {
        requests_[request].root = no_index;
        reply(request, succeeded);
        return;
    }
    auto& p = calls_[parent];
    p.time_in_children += now_ - p.child_started;
    p.child = no_index;
    leave_target(parent, succeeded ? call_result::answered : call_result::failed, !succeeded);
}

void simulator::detach(index c)
{
    auto& k = calls_[c];
    balancer_for(k).on_failure(servers_[k.server].id, attempt_failure::timeout, now());
    lender_of(k).write_off(k.loan);
    k.detached = true;
    if (k.state == call_state::answered) {
        release(c);
    }
}

void simulator::on_hop_timeout(index c)
{
    if (calls_[c].detached) {
        return;
    }
    const auto request = calls_[c].request;
    const auto parent = calls_[c].parent;
    const bool retried = retry_call(c);
    detach(c);
    if (!retried) {
        complete_call(request, parent, false);
    }
}

void simulator::cancel(index c, bool timed_out)
{
    auto& k = calls_[c];
    const auto s = k.server;
    balancer_for(k).on_failure(servers_[s].id,
                               timed_out ? attempt_failure::timeout : attempt_failure::cancelled, now());
    lender_of(k).write_off(k.loan);
    if (k.state == call_state::queued) {
        servers_[s].admission->cancel(c);
    }
    else if (k.state == call_state::running) {
        if (k.child != no_index) {
            cancel(k.child, false);
        }
        free_slot(c);
    }
    release(c);
    poll_admission(s);
}

} // namespace wagtailhatch::bench
