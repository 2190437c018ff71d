#include "src/node/outgoing_handler.h"

#include "include/observe/trace_parent.h"
#include "include/ownership/slot_service.h"
#include "src/node/call_router.h"
#include "src/node/call_server.h"
#include "src/node/caller_response.h"
#include "src/node/header_filter.h"
#include "src/node/order_codec.h"

#include <algorithm>
#include <utility>

namespace wagtailhatch {

struct outgoing_handler::outgoing_call {
    std::shared_ptr<http_exchange> exchange;
    std::shared_ptr<active_call> parent;
    call_message message;
    bool ended = false;
    call_router::call_handle call;
};

namespace {

// Chains are up to 23 deep; anything much deeper is a loop between services.
constexpr std::uint32_t max_depth = 32;

} // namespace

outgoing_handler::outgoing_handler(const clock& time, random_source& random, call_router& router,
                                   call_server& server, slot_service& slots)
    : clock_{time}
    , random_{random}
    , router_{router}
    , server_{server}
    , slots_{slots}
{
}

outgoing_handler::~outgoing_handler() = default;

void outgoing_handler::handle(const std::shared_ptr<http_exchange>& exchange)
{
    if (exchange->request().target == "/wh/v1/announce") {
        announce(*exchange);
        return;
    }
    auto c = std::make_shared<outgoing_call>();
    c->exchange = exchange;
    auto refusal = refusal_reason::none;
    if (!prepare(*c, exchange->request(), refusal)) {
        exchange->respond(refusal_response(refusal));
        return;
    }
    const std::weak_ptr<int> alive = alive_;
    exchange->on_disconnect([this, alive, weak = std::weak_ptr<outgoing_call>{c}] {
        const auto call = weak.lock();
        if (!alive.expired() && call) {
            router_.cancel(call->call);
        }
    });
    start(c);
}

void outgoing_handler::announce(http_exchange& exchange)
{
    http_response response;
    const auto announcement = parse_announcement(exchange.request().body);
    if (!announcement) {
        response.status = 400;
        response.body = announcement.failure().message() + "\n";
    }
    else if (const auto accepted = server_.announce(*announcement); !accepted) {
        response.status = 409;
        response.body = accepted.failure().message() + "\n";
    }
    exchange.respond(std::move(response));
}

bool outgoing_handler::prepare(outgoing_call& c, http_request& request, refusal_reason& refusal)
{
    const auto refuse = [&refusal](refusal_reason reason) {
        refusal = reason;
        return false;
    };
    const auto* handle = find_header(request.headers, "wh-call-handle");
    c.parent = handle == nullptr ? nullptr : server_.handles().find(*handle);
    if (!c.parent || c.parent->context.depth + 1 > max_depth) {
        return refuse(refusal_reason::invalid_handle);
    }
    if (!config_) {
        return refuse(refusal_reason::starting);
    }
    const auto* route = config_->routes.find(request.method, request.target);
    if (route == nullptr) {
        return refuse(refusal_reason::unknown_route);
    }
    const auto& parent = c.parent->context;
    auto& m = c.message;
    m.service = route->service;
    m.context.route = c.parent->context.route;
    m.idempotent = route->idempotent && !route->run_once;
    m.context.workspace = parent.workspace;
    m.context.level = parent.level;
    m.context.deadline = std::min(parent.deadline, clock_.now() + route->timeout);
    m.context.depth = parent.depth + 1;
    m.context.trace = child_span(parent.trace, random_);
    ++c.parent->outgoing_calls;
    if (route->run_once) {
        const auto* key = find_header(request.headers, "Idempotency-Key");
        if (key == nullptr && parent.run_once_key.empty()) {
            return refuse(refusal_reason::idempotency_key_required);
        }
        // A run-once parent runs at most once, so the number of the call within it identifies the call.
        m.context.run_once_key =
            route->name + "/" +
            (key != nullptr ? *key : parent.run_once_key + "#" + std::to_string(c.parent->outgoing_calls));
    }
    filter_request_headers(request.headers);
    m.request = std::move(request);
    return true;
}

void outgoing_handler::start(const call_ptr& c)
{
    auto& parent = *c->parent;
    if (parent.outgoing_active++ == 0) {
        parent.outgoing_since = clock_.now();
    }
    const std::weak_ptr<int> alive = alive_;
    const auto done = [this, alive, c](call_reply reply) {
        if (!alive.expired()) {
            end(c, std::move(reply));
        }
    };
    auto& m = c->message;
    if (m.context.run_once_key.empty()) {
        c->call = router_.start(m, parent.retries, done);
        return;
    }
    run_once_order order{m.context.workspace, m.context.run_once_key, false, encode(m, clock_.now())};
    slots_.run_once(std::move(order), m.context.deadline,
                    [done](const run_once_result& r) { done(decode_order_result(r)); });
}

void outgoing_handler::end(const call_ptr& c, call_reply reply)
{
    if (std::exchange(c->ended, true)) {
        return;
    }
    auto& parent = *c->parent;
    if (--parent.outgoing_active == 0) {
        parent.outgoing_time += clock_.now() - parent.outgoing_since;
    }
    if (reply.result != outcome::answered || reply.downstream_refused) {
        parent.downstream_refused = true;
    }
    c->exchange->respond(to_response(std::move(reply)));
}

} // namespace wagtailhatch
