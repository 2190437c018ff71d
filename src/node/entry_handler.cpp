#include "src/node/entry_handler.h"

#include "include/observe/trace_parent.h"
#include "include/ownership/slot_service.h"
#include "src/node/call_router.h"
#include "src/node/caller_response.h"
#include "src/node/header_filter.h"
#include "src/node/order_codec.h"

#include <asio/steady_timer.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace wagtailhatch {

struct entry_handler::entry_request {
    std::shared_ptr<http_exchange> exchange;
    call_message message;
    bool run_once = false;
    bool ended = false;
    steady_time started{};
    call_router::call_handle call;
    std::shared_ptr<retry_tokens> tokens;
};

namespace {

constexpr std::size_t max_idempotency_key = 256;
// A pair that loses a member is whole again within about a second while the table answers.
constexpr duration mint_patience = std::chrono::seconds{2};
constexpr duration mint_retry = std::chrono::milliseconds{25};

// The caller may only shorten the route's timeout.
duration requested_timeout(const http_headers& headers, std::chrono::milliseconds most)
{
    const auto* text = find_header(headers, "wh-timeout-ms");
    std::int64_t value = 0;
    if (text == nullptr ||
        std::from_chars(text->data(), text->data() + text->size(), value).ec != std::errc{} || value <= 0) {
        return most;
    }
    return std::min(std::chrono::milliseconds{std::min<std::int64_t>(value, most.count())}, most);
}

} // namespace

entry_handler::entry_handler(asio::io_context& io, const clock& time, random_source& random,
                             call_router& router, slot_service& slots)
    : io_{io}
    , clock_{time}
    , random_{random}
    , router_{router}
    , slots_{slots}
{
}

entry_handler::~entry_handler() = default;

void entry_handler::handle(const std::shared_ptr<http_exchange>& exchange)
{
    auto refusal = refusal_reason::none;
    auto message = admit(exchange->request(), refusal);
    if (!message) {
        exchange->respond(refusal_response(refusal, std::chrono::seconds{1}));
        return;
    }
    auto r = std::make_shared<entry_request>();
    r->exchange = exchange;
    r->message = std::move(*message);
    r->run_once = !r->message.context.run_once_key.empty();
    r->started = clock_.now();
    r->tokens = std::make_shared<retry_tokens>(config_->config->retry_tokens);
    ++in_flight_;
    const std::weak_ptr<int> alive = alive_;
    exchange->on_disconnect([this, alive, weak = std::weak_ptr<entry_request>{r}] {
        const auto request = weak.lock();
        // The home of a run-once order finishes it: the caller's repeat finds the answer.
        if (!alive.expired() && request && !request->run_once) {
            router_.cancel(request->call);
        }
    });
    if (r->message.context.workspace.empty()) {
        after_token(r);
        return;
    }
    take_token(r);
}

void entry_handler::take_token(const request_ptr& r)
{
    const std::weak_ptr<int> alive = alive_;
    slots_.take_token(r->message.context.workspace, [this, alive, r](const take_result& taken) {
        if (alive.expired() || r->ended) {
            return;
        }
        if (taken.granted) {
            after_token(r);
        }
        else if (!taken.mint_reached && clock_.now() - r->started < mint_patience &&
                 clock_.now() + mint_retry < r->message.context.deadline) {
            // A slot is changing hands. Refusing now would refuse a request that is within its rate.
            auto timer = std::make_shared<asio::steady_timer>(io_, mint_retry);
            timer->async_wait([this, alive, r, timer](const std::error_code&) {
                if (!alive.expired()) {
                    take_token(r);
                }
            });
        }
        else {
            call_reply reply;
            reply.result = outcome::not_run;
            reply.reason = taken.mint_reached ? refusal_reason::over_rate : refusal_reason::rate_unavailable;
            reply.retry_after = std::chrono::ceil<std::chrono::milliseconds>(taken.retry_after);
            end(r, std::move(reply));
        }
    });
}

result<call_message> entry_handler::admit(http_request& request, refusal_reason& refusal)
{
    const auto refuse = [&refusal](refusal_reason reason) -> result<call_message> {
        refusal = reason;
        return errc::unavailable;
    };
    if (leaving_) {
        return refuse(refusal_reason::leaving);
    }
    if (!config_) {
        return refuse(refusal_reason::starting);
    }
    if (!canonical_path(request.target)) {
        return refuse(refusal_reason::malformed);
    }
    const auto* route = config_->routes.find(request.method, request.target);
    if (route == nullptr) {
        return refuse(refusal_reason::unknown_route);
    }
    call_message m;
    if (const auto reason = check_key(request, *route, m.context.workspace); reason != refusal_reason::none) {
        return refuse(reason);
    }
    if (request.body.size() > route->max_body) {
        return refuse(refusal_reason::too_large);
    }
    if (route->run_once) {
        const auto* key = find_header(request.headers, "Idempotency-Key");
        if (key == nullptr || key->empty() || key->size() > max_idempotency_key) {
            return refuse(refusal_reason::idempotency_key_required);
        }
        m.context.run_once_key = route->name + "/" + *key;
        const auto* first = find_header(request.headers, "wh-first-attempt");
        m.first_attempt = first != nullptr && *first == "1";
    }
    m.service = route->service;
    m.context.route = route->name;
    m.idempotent = route->idempotent && !route->run_once;
    m.context.level = route->level;
    m.context.deadline = clock_.now() + requested_timeout(request.headers, route->timeout);
    const auto* traceparent = find_header(request.headers, "traceparent");
    const auto parent = traceparent == nullptr ? std::nullopt : parse_traceparent(*traceparent);
    m.context.trace = parent ? child_span(*parent, random_)
                             : new_trace(random_, sampled_one_in_ > 0 && random_.below(sampled_one_in_) == 0);
    filter_request_headers(request.headers);
    m.request = std::move(request);
    return m;
}

refusal_reason entry_handler::check_key(const http_request& request, const route_config& route,
                                        std::string& workspace)
{
    const auto token = bearer_token(request.headers);
    if (!token.empty() && key_leaks(request, token)) {
        return refusal_reason::malformed;
    }
    if (route.open) {
        return refusal_reason::none;
    }
    if (stale_) {
        return refusal_reason::starting;
    }
    const auto match = config_->keys.find(request.headers);
    switch (match.status) {
    case key_status::valid:
        workspace = match.workspace->name;
        return refusal_reason::none;
    case key_status::withdrawn:
        return refusal_reason::withdrawn_key;
    case key_status::unknown:
        return refusal_reason::unknown_key;
    case key_status::missing:
        break;
    }
    return refusal_reason::key_required;
}

void entry_handler::after_token(const request_ptr& r)
{
    if (r->run_once) {
        start_order(r);
        return;
    }
    const std::weak_ptr<int> alive = alive_;
    r->call = router_.start(r->message, r->tokens, [this, alive, r](call_reply reply) {
        if (!alive.expired()) {
            end(r, std::move(reply));
        }
    });
}

void entry_handler::start_order(const request_ptr& r)
{
    run_once_order order;
    order.workspace = r->message.context.workspace;
    order.key = r->message.context.run_once_key;
    order.first_attempt = r->message.first_attempt;
    r->message.context.retry_tokens = config_->config->retry_tokens;
    order.request = encode(r->message, clock_.now());
    const std::weak_ptr<int> alive = alive_;
    slots_.run_once(std::move(order), r->message.context.deadline,
                    [this, alive, r](const run_once_result& result) {
                        if (!alive.expired()) {
                            end(r, decode_order_result(result));
                        }
                    });
}

void entry_handler::run_order(const run_once_order& order, steady_time deadline,
                              std::function<void(run_once_result)> done)
{
    auto message = decode_call_message(order.request, clock_.now());
    if (!message) {
        run_once_result refused;
        refused.what = outcome::not_run;
        refused.reason = refusal_reason::malformed;
        done(std::move(refused));
        return;
    }
    message->context.deadline = std::min(message->context.deadline, deadline);
    auto tokens = std::make_shared<retry_tokens>(message->context.retry_tokens);
    router_.start(std::move(*message), std::move(tokens),
                  [done = std::move(done)](const call_reply& reply) { done(encode_order_result(reply)); });
}

void entry_handler::end(const request_ptr& r, call_reply reply)
{
    if (std::exchange(r->ended, true)) {
        return;
    }
    --in_flight_;
    auto response = to_response(std::move(reply));
    if (observer_) {
        observer_(r->message, r->started, response);
    }
    r->exchange->respond(std::move(response));
}

} // namespace wagtailhatch
