#pragma once

#include "include/http/http_message.h"
#include "src/node/call_message.h"

namespace wagtailhatch {

/// The HTTP response for a call's reply, with `wh-outcome` and `wh-reason`; the statuses are those of
/// docs/callers.md.
http_response to_response(call_reply reply);

/// The response for a request that was refused before any call.
http_response refusal_response(refusal_reason reason, std::chrono::milliseconds retry_after = {});

} // namespace wagtailhatch
