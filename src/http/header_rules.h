#pragma once

#include <string>
#include <string_view>

namespace wagtailhatch {

std::string to_lower(std::string_view text);

/// Whether the text is a token as defined by RFC 9110, as methods and header names must be.
bool is_token(std::string_view text);

/// Whether the text is safe as a header value. A line break would start another header or message.
bool is_field_value(std::string_view text);

/// Whether a header is hop-by-hop or frames the message, and must not be forwarded. Ignores ASCII case.
bool is_hop_by_hop_header(std::string_view name);

} // namespace wagtailhatch
