#include "include/quota/rate_limiter.h"

#include <algorithm>
#include <utility>

namespace wagtailhatch {
namespace {

using namespace std::chrono_literals;

// Told to callers whose request has waited in vain for an answer of the allocator.
constexpr duration no_answer_retry_after = 150ms;
// Told to a node that requests tokens from a node which does not allocate them: their views of the fleet
// differ for a moment.
constexpr duration not_owner_retry_after = 30ms;
// Peers may have taken a process that was paused for longer for dead.
constexpr duration max_pause = 1s;

} // namespace

rate_limiter::rate_limiter(rate_allocator_options options, peer_address self, request_sender send)
    : self_{std::move(self)}
    , send_{std::move(send)}
    , allocator_{options}
{
}

void rate_limiter::set_configuration(const configuration& config, steady_time now)
{
    allocator_.set_configuration(config, now);
    update_ownership(now);
    std::erase_if(workspaces_, [&](const auto& entry) {
        return !allocator_.limited(entry.first) && entry.second.waiters.empty();
    });
}

void rate_limiter::set_nodes(std::span<const peer_address> nodes, double reachable_fraction, steady_time now)
{
    check_pause(now);
    ring_.set_nodes(nodes);
    reachable_fraction_ = reachable_fraction;
    update_ownership(now);
}

void rate_limiter::update_ownership(steady_time now)
{
    allocator_.set_ownership([this](std::string_view workspace) { return ring_.owner(workspace) == self_; },
                             reachable_fraction_, now);
}

void rate_limiter::admit(std::string_view workspace, duration max_wait, steady_time now,
                         decision_callback decide)
{
    check_pause(now);
    if (!allocator_.limited(workspace)) {
        decide({true, {}});
        return;
    }
    const auto [found, added] = workspaces_.try_emplace(std::string{workspace});
    auto& state = found->second;
    state.tokens.count_demand(now);
    // Requests that wait are first in line.
    if (state.waiters.empty() && state.tokens.take(now)) {
        request_tokens(found->first, state, now);
        decide({true, {}});
        return;
    }
    state.waiters.push_back({now + max_wait, std::move(decide)});
    ++waiting_;
    serve(found->first, state, now);
}

void rate_limiter::serve(const std::string& workspace, workspace_state& state, steady_time now)
{
    admit_waiting(state, now);
    request_tokens(workspace, state, now);
    refuse_waiting(state, now);
}

void rate_limiter::request_tokens(const std::string& workspace, workspace_state& state, steady_time now)
{
    const auto count = state.tokens.needed(static_cast<std::uint32_t>(state.waiters.size()), now);
    const auto owner = ring_.owner(workspace);
    if (count == 0 || owner.empty()) {
        return;
    }
    const rate_request request{workspace, count, state.tokens.begin_request(now)};
    if (owner == self_) {
        state.tokens.on_grant(on_request(request, now), now);
        admit_waiting(state, now);
        return;
    }
    // Without a link the request stays unanswered and is repeated by poll().
    static_cast<void>(send_(owner, request));
}

void rate_limiter::admit_waiting(workspace_state& state, steady_time now)
{
    while (!state.waiters.empty() && state.tokens.take(now)) {
        decide_front(state, {true, {}});
    }
}

void rate_limiter::refuse_waiting(workspace_state& state, steady_time now)
{
    const auto denied = state.tokens.denied_for(now);
    while (!state.waiters.empty() && state.waiters.front().deadline <= now + denied) {
        decide_front(state, {false, denied > duration{} ? denied : no_answer_retry_after});
    }
}

void rate_limiter::decide_front(workspace_state& state, const rate_decision& decision)
{
    const auto decide = std::move(state.waiters.front().decide);
    state.waiters.pop_front();
    --waiting_;
    decide(decision);
}

void rate_limiter::refund(std::string_view workspace, steady_time now)
{
    if (const auto found = workspaces_.find(workspace); found != workspaces_.end()) {
        found->second.tokens.refund(now);
    }
}

rate_grant rate_limiter::on_request(const rate_request& request, steady_time now)
{
    check_pause(now);
    return allocator_.allocate(request, now)
        .value_or(rate_grant{request.workspace, 0, request.sequence, not_owner_retry_after});
}

void rate_limiter::on_grant(const rate_grant& grant, steady_time now)
{
    check_pause(now);
    const auto found = workspaces_.find(grant.workspace);
    if (found == workspaces_.end()) {
        return;
    }
    found->second.tokens.on_grant(grant, now);
    serve(found->first, found->second, now);
}

void rate_limiter::check_pause(steady_time now)
{
    const auto before = std::exchange(last_active_, now);
    if (before == steady_time{} || now - before < max_pause) {
        return;
    }
    for (auto& [name, state] : workspaces_) {
        state.tokens.drop();
    }
    allocator_.set_ownership([](std::string_view) { return false; }, reachable_fraction_, now);
    update_ownership(now);
}

void rate_limiter::poll(steady_time now)
{
    check_pause(now);
    for (auto& [name, state] : workspaces_) {
        if (!state.waiters.empty()) {
            serve(name, state, now);
        }
    }
}

} // namespace wagtailhatch
