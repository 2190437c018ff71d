#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace wagtailhatch {

/// Encodes all bytes except RFC 3986 unreserved characters; the result is a single path segment.
std::string percent_encode(std::string_view text);

/// Nothing if an escape sequence is incomplete or not hexadecimal.
std::optional<std::string> percent_decode(std::string_view text);

} // namespace wagtailhatch
