#pragma once

#include <cstddef>
#include <string_view>

namespace wagtailhatch {

/// Bytes of a status line up to the one that follows the status: "HTTP/1.1 200 ".
constexpr std::size_t status_line_prefix = 13;

/// Whether the first status_line_prefix bytes of a response are those of a valid HTTP/1.x status line. The
/// status has three digits, is not below 100 or above 599, and is not 101, because no request asks to switch
/// protocols.
bool valid_status_line(std::string_view begin);

} // namespace wagtailhatch
