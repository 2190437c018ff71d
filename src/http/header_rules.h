#pragma once

#include <string>
#include <string_view>

namespace wagtailhatch {

std::string to_lower(std::string_view text);

/// Whether the text is a token of RFC 9110, as methods and header names are.
bool is_token(std::string_view text);

/// Whether the text cannot end its header: line breaks in a value would start another header or message.
bool is_field_value(std::string_view text);

/// Whether a header belongs to one connection and must not be passed on. Any case.
bool is_connection_header(std::string_view name);

} // namespace wagtailhatch
