#include "src/node/call_router.h"

#include <algorithm>
#include <utility>

namespace wagtailhatch {

class call_router::call {
public:
    call_message message;
    std::shared_ptr<retry_tokens> tokens;
    completion done;
    std::vector<std::string> tried; ///< Ids of instances that did not take the call.
    std::uint32_t redirects = 0;
    bool may_have_run = false; ///< An earlier attempt ended with unknown outcome.

    // The attempt under way.
    std::string target;
    std::uint64_t loan = 0;
    bool in_flight = false;
    request_id remote = 0;
    std::function<void()> cancel_local;
};

namespace {

call_result result_of(const call_reply& reply)
{
    if (reply.result == outcome::not_run) {
        return reply.reason == refusal_reason::leaving || reply.reason == refusal_reason::no_target
                   ? call_result::leaving
                   : call_result::refused;
    }
    const bool own_fault = reply.response.status >= 500 && !reply.downstream_refused;
    return own_fault ? call_result::failed : call_result::answered;
}

call_reply failed_reply(outcome what, refusal_reason reason)
{
    call_reply reply;
    reply.result = what;
    reply.reason = reason;
    return reply;
}

// How much longer than the deadline a peer's answer is awaited, so that its own "deadline" answer arrives.
constexpr duration answer_grace = std::chrono::milliseconds{20};

} // namespace

call_router::call_router(options opts, const clock& time, random_source& random, peer_transport& peers)
    : options_{std::move(opts)}
    , clock_{time}
    , random_{random}
    , peers_{peers}
{
}

call_router::~call_router() = default;

balancer& call_router::balancer_for(const std::string& service)
{
    auto& slot = balancers_[service];
    if (!slot) {
        balancer_options opts;
        opts.data_centre = options_.data_centre;
        slot = std::make_unique<balancer>(opts, random_);
        for (const auto& [workspace, weight] : weights_) {
            slot->set_weight(workspace, weight);
        }
        if (unknown_service_) {
            unknown_service_(service);
        }
    }
    return *slot;
}

void call_router::set_members(const std::string& service, const std::vector<member>& members)
{
    balancer_for(service).set_members(members);
}

void call_router::set_configuration(const configuration& config)
{
    weights_.clear();
    for (const auto& [name, workspace] : config.workspaces) {
        weights_.emplace_back(name, workspace.rate);
        for (auto& [service, b] : balancers_) {
            b->set_weight(name, workspace.rate);
        }
    }
}

call_router::call_handle call_router::start(call_message message, std::shared_ptr<retry_tokens> tokens,
                                            completion done)
{
    auto c = std::make_shared<call>();
    c->message = std::move(message);
    c->tokens = std::move(tokens);
    c->done = std::move(done);
    throttle_.on_first_attempt();
    const auto& m = c->message;
    auto& service = balancer_for(m.service);
    // Only the entry sheds for what lies deeper; every further check would shed again.
    if (m.context.depth == 0 &&
        service.should_shed(m.context.route, m.context.level, m.context.workspace, clock_.now())) {
        auto reply = failed_reply(outcome::not_run, refusal_reason::overload);
        reply.retry_after = std::chrono::seconds{1};
        finish(c, std::move(reply));
        return c;
    }
    attempt(c);
    return c;
}

void call_router::attempt(const call_ptr& c)
{
    const auto now = clock_.now();
    if (now >= c->message.context.deadline) {
        finish(c, failed_reply(outcome::not_run, refusal_reason::deadline));
        return;
    }
    const auto picked = balancer_for(c->message.service).pick(now, c->tried);
    if (picked.target == nullptr) {
        auto reply = failed_reply(outcome::not_run, picked.reason);
        reply.retry_after = std::chrono::seconds{1};
        finish(c, std::move(reply));
        return;
    }
    send(c, *picked.target);
}

void call_router::send(const call_ptr& c, const member& target)
{
    const auto now = clock_.now();
    const auto loan = c->tokens->lend();
    c->loan = loan.id;
    c->message.context.retry_tokens = loan.tokens;
    c->target = target.id;
    c->in_flight = true;
    balancer_for(c->message.service).on_sent(target.id, now);
    if (target.id == options_.instance && local_server_) {
        c->remote = 0;
        auto cancel = local_server_(c->message, [this, c](call_reply reply) {
            if (std::exchange(c->in_flight, false)) {
                on_answer(c, std::move(reply));
            }
        });
        if (c->in_flight) {
            c->cancel_local = std::move(cancel);
        }
        return;
    }
    c->cancel_local = nullptr;
    const auto timeout = c->message.context.deadline - now + answer_grace;
    c->remote = peers_.request(target.address, channel::call, encode(c->message, now), timeout,
                               [this, c](const peer_reply& reply) { on_reply(c, reply); });
}

void call_router::on_reply(const call_ptr& c, const peer_reply& reply)
{
    if (!std::exchange(c->in_flight, false)) {
        return;
    }
    if (!reply.ok) {
        on_lost(c, reply.failure);
        return;
    }
    auto decoded = decode_call_reply(reply.payload);
    if (!decoded) {
        on_lost(c, {decoded.failure(), delivery::maybe_sent});
        return;
    }
    on_answer(c, std::move(*decoded));
}

void call_router::on_answer(const call_ptr& c, call_reply reply)
{
    const auto now = clock_.now();
    c->tokens->give_back(c->loan, reply.retry_tokens);
    auto& service = balancer_for(c->message.service);
    if (reply.result == outcome::unknown) {
        service.on_failure(c->target, call_failure::timeout, now);
    }
    else {
        service.on_answer(c->target, reply.load,
                          {c->message.context.route, c->message.context.depth, result_of(reply)}, now);
    }
    if (retry_allowed(c, reply)) {
        attempt(c);
        return;
    }
    finish(c, std::move(reply));
}

void call_router::on_lost(const call_ptr& c, const peer_failure& failure)
{
    c->tokens->lose(c->loan);
    const auto now = clock_.now();
    const bool timed_out = failure.reason.code == make_error_code(errc::timeout);
    balancer_for(c->message.service)
        .on_failure(c->target, timed_out ? call_failure::timeout : call_failure::not_reached, now);
    auto reply = failure.sent == delivery::not_sent
                     ? failed_reply(outcome::not_run, refusal_reason::no_target)
                     : failed_reply(outcome::unknown,
                                    timed_out ? refusal_reason::deadline : refusal_reason::connection_lost);
    if (retry_allowed(c, reply)) {
        attempt(c);
        return;
    }
    finish(c, std::move(reply));
}

bool call_router::retry_allowed(const call_ptr& c, const call_reply& reply)
{
    const auto& message = c->message;
    if (clock_.now() >= message.context.deadline || reply.result == outcome::answered) {
        return false;
    }
    if (reply.result == outcome::unknown) {
        c->may_have_run = true;
        if (!message.idempotent) {
            return false;
        }
    }
    c->tried.push_back(c->target);
    switch (reply.reason) {
    case refusal_reason::leaving:
    case refusal_reason::no_target:
        // The instance did not take the call at all, so this costs no retry; the count is bounded.
        return c->redirects++ < options_.max_redirects;
    case refusal_reason::overload:
    case refusal_reason::connection_lost:
        return c->tokens->available() > 0 && throttle_.try_retry() && c->tokens->spend();
    default:
        return false;
    }
}

void call_router::finish(const call_ptr& c, call_reply reply)
{
    if (reply.result == outcome::not_run && c->may_have_run) {
        // "Not run" would be false: an earlier attempt may have run.
        reply.result = outcome::unknown;
        reply.reason = refusal_reason::connection_lost;
    }
    if (auto done = std::exchange(c->done, nullptr)) {
        done(std::move(reply));
    }
}

void call_router::cancel(const call_handle& handle)
{
    const auto c = handle.lock();
    if (!c || !c->done) {
        return;
    }
    if (std::exchange(c->in_flight, false)) {
        balancer_for(c->message.service).on_failure(c->target, call_failure::cancelled, clock_.now());
        if (c->cancel_local) {
            c->cancel_local();
        }
        else {
            peers_.cancel(c->remote);
        }
        c->may_have_run = true;
    }
    finish(c, failed_reply(c->may_have_run ? outcome::unknown : outcome::not_run, refusal_reason::cancelled));
}

admit_level call_router::path_pressure(const std::vector<std::string>& services, std::string_view route) const
{
    admit_level least;
    for (const auto& service : services) {
        const auto found = balancers_.find(service);
        if (found != balancers_.end()) {
            least = min(least, found->second->path_pressure(route, clock_.now()));
        }
    }
    return least;
}

std::size_t call_router::usable(const std::string& service) const
{
    const auto found = balancers_.find(service);
    return found == balancers_.end() ? 0 : found->second->usable(clock_.now());
}

} // namespace wagtailhatch
