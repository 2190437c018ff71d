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
    auto& routes = balancer_for(k);
    const auto pick = routes.pick(now(), k.tried);
    if (pick.target == nullptr) {
        const auto request = k.request;
        const auto parent = k.parent;
        release(c);
        conclude(request, parent, false);
        return;
    }
    const auto loan = lender_of(k).lend();
    k.loan = loan.id;
    k.tokens = retry_tokens{loan.tokens};
    k.server = static_cast<index>(std::stoul(pick.target->address));
    k.sent = now_;
    routes.on_sent(pick.target->id, now());
    push(network(k.sender, k.server), {.kind = event_kind::deliver, .a = c, .generation = k.generation});
    if (!policy_.propagate_deadline) {
        push(hop_timeout, {.kind = event_kind::hop_timeout, .a = c, .generation = k.generation});
    }
}

void simulator::on_answer(index c)
{
    auto& k = calls_[c];
    auto& routes = balancer_for(k);
    const auto& id = servers_[k.server].id;
    if (k.lost) {
        routes.on_failure(id, attempt_failure::not_reached, now());
        lender_of(k).lose(k.loan);
    }
    else {
        routes.on_answer(id, k.report, {route_of(requests_[k.request]).name, k.hop, k.result}, now());
        lender_of(k).give_back(k.loan, k.returned_tokens);
    }
    const bool whole = !k.lost && k.result == call_result::answered;
    const auto request = k.request;
    const auto parent = k.parent;
    if (!whole && k.parent == no_index && k.result == call_result::refused) {
        count_first_refusal(request);
    }
    if (whole || !try_again(c)) {
        release(c);
        conclude(request, parent, whole);
    }
    else {
        release(c);
    }
}

bool simulator::try_again(index c)
{
    const auto& k = calls_[c];
    auto& node = servers_[k.sender];
    if (policy_.hop_retries > 0) {
        if (k.tries >= policy_.hop_retries || (policy_.throttle && !node.throttle.try_retry())) {
            return false;
        }
    }
    else {
        const bool unsafe = k.lost && route_of(requests_[k.request]).run_once;
        auto& tokens = lender_of(k);
        if (k.final || unsafe || tokens.available() == 0 ||
            (policy_.throttle && !node.throttle.try_retry())) {
            return false;
        }
        tokens.spend();
    }
    const auto next = new_call(k.request, k.hop, k.parent, k.sender);
    const auto& old = calls_[c];
    auto& retry = calls_[next];
    retry.tried = old.tried;
    retry.tried.push_back(servers_[old.server].id);
    retry.tries = static_cast<std::uint8_t>(old.tries + 1);
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

void simulator::conclude(index request, index parent, bool whole)
{
    if (parent == no_index) {
        requests_[request].root = no_index;
        reply(request, whole);
        return;
    }
    auto& p = calls_[parent];
    p.in_children += now_ - p.child_started;
    p.child = no_index;
    leave_target(parent, whole ? call_result::answered : call_result::failed, !whole);
}

void simulator::detach(index c)
{
    auto& k = calls_[c];
    balancer_for(k).on_failure(servers_[k.server].id, attempt_failure::timeout, now());
    lender_of(k).lose(k.loan);
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
    const bool again = try_again(c);
    detach(c);
    if (!again) {
        conclude(request, parent, false);
    }
}

void simulator::cancel(index c, bool timed_out)
{
    auto& k = calls_[c];
    const auto s = k.server;
    balancer_for(k).on_failure(servers_[s].id,
                               timed_out ? attempt_failure::timeout : attempt_failure::cancelled, now());
    lender_of(k).lose(k.loan);
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
    act_on(s);
}

} // namespace wagtailhatch::bench
