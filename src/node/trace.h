#pragma once

#include "include/core/call_context.h"
#include "include/core/random_source.h"
#include "include/http/http_message.h"

namespace wagtailhatch {

/// A span below parent: same trace, new span id. A new trace if parent has none.
trace_context child_span(const trace_context& parent, random_source& random);

/// Header value of W3C Trace Context, version 00.
std::string format_traceparent(const trace_context& trace);

/// The context of a request's `traceparent` header; an empty one if there is none or it is malformed.
trace_context read_traceparent(const http_headers& headers);

} // namespace wagtailhatch
