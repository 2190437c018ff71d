#include "src/node/caller_response.h"

#include <algorithm>
#include <string>

namespace wagtailhatch {
namespace {

int refusal_status(refusal_reason reason, outcome what)
{
    switch (reason) {
    case refusal_reason::over_rate:
        return 429;
    case refusal_reason::deadline:
        return 504;
    case refusal_reason::connection_lost:
        return 502;
    case refusal_reason::unknown_key:
    case refusal_reason::withdrawn_key:
    case refusal_reason::key_required:
        return 401;
    case refusal_reason::invalid_handle:
        return 403;
    case refusal_reason::unknown_route:
        return 404;
    case refusal_reason::too_large:
        return 413;
    case refusal_reason::malformed:
    case refusal_reason::idempotency_key_required:
        return 400;
    case refusal_reason::in_progress:
    case refusal_reason::outcome_unknown:
    case refusal_reason::already_run:
        return 409;
    case refusal_reason::cancelled:
        return what == outcome::unknown ? 502 : 503;
    default:
        return 503;
    }
}

// Whole seconds, rounded up: a caller that comes back earlier would be refused again.
std::string retry_after_seconds(std::chrono::milliseconds wait)
{
    return std::to_string(std::max<std::int64_t>(1, std::chrono::ceil<std::chrono::seconds>(wait).count()));
}

bool worth_retrying(refusal_reason reason)
{
    return reason == refusal_reason::over_rate || reason == refusal_reason::overload ||
           reason == refusal_reason::no_target || reason == refusal_reason::leaving ||
           reason == refusal_reason::quarantined || reason == refusal_reason::rate_unavailable ||
           reason == refusal_reason::starting;
}

} // namespace

http_response to_response(call_reply reply)
{
    if (reply.result == outcome::answered && reply.reason != refusal_reason::already_run) {
        auto response = std::move(reply.response);
        response.headers.push_back({"wh-outcome", std::string{to_string(outcome::answered)}});
        if (reply.reason == refusal_reason::replayed) {
            response.headers.push_back({"wh-reason", std::string{to_string(reply.reason)}});
        }
        return response;
    }
    http_response response;
    response.status = refusal_status(reply.reason, reply.result);
    response.headers.push_back({"wh-outcome", std::string{to_string(reply.result)}});
    response.headers.push_back({"wh-reason", std::string{to_string(reply.reason)}});
    if (reply.result == outcome::not_run && worth_retrying(reply.reason)) {
        response.headers.push_back({"Retry-After", retry_after_seconds(reply.retry_after)});
    }
    response.headers.push_back({"Content-Type", "text/plain"});
    response.body = std::string{to_string(reply.result)} + ": " + std::string{to_string(reply.reason)} + "\n";
    return response;
}

http_response refusal_response(refusal_reason reason, std::chrono::milliseconds retry_after)
{
    call_reply reply;
    reply.result = outcome::not_run;
    reply.reason = reason;
    reply.retry_after = retry_after;
    return to_response(std::move(reply));
}

} // namespace wagtailhatch
