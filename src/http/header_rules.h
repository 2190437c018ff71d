#pragma once

#include "include/http/http_message.h"

#include <string>
#include <string_view>

namespace wagtailhatch {

std::string to_lower(std::string_view text);

/// Whether the text is a token as defined by RFC 9110, as methods and header names must be.
bool is_token(std::string_view text);

/// Whether the names of all headers are tokens, so that every reader takes them for the same headers.
bool names_are_tokens(const http_headers& headers);

/// Whether the text is safe as a header value. A line break would start another header or message.
bool is_field_value(std::string_view text);

/// The text without blanks and line ends around it.
std::string_view trim(std::string_view text);

/// Whether the Transfer-Encoding of a message names the one coding that is supported, chunked.
bool is_chunked_coding(std::string_view value);

/// Whether a header is hop-by-hop or frames the message, and must not be forwarded. Ignores ASCII case.
bool is_hop_by_hop_header(std::string_view name);

} // namespace wagtailhatch
