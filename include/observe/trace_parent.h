#pragma once

#include "include/core/trace_context.h"

#include <optional>
#include <string>
#include <string_view>

namespace wagtailhatch {

class random_source;

/// Parses a W3C `traceparent` header; nothing if it is malformed. The caller then starts a new trace.
std::optional<trace_context> parse_traceparent(std::string_view text);

/// Formats a `traceparent` header of version 00.
std::string format_traceparent(const trace_context& context);

/// Creates the root span of a new trace.
trace_context new_trace(random_source& random, bool sampled);

/// Creates a child span in the same trace.
trace_context child_span(const trace_context& parent, random_source& random);

/// Ids as lower-case hexadecimal digits.
std::string trace_id_text(const trace_context& context);
std::string span_id_text(const trace_context& context);

} // namespace wagtailhatch
