#pragma once

#include "include/http/http_message.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wagtailhatch {

/// Whether two header names or tokens are equal, ignoring ASCII case.
bool equal_ignoring_case(std::string_view a, std::string_view b);

/// Removes hop-by-hop headers, including those named in a `Connection` header.
void remove_hop_by_hop_headers(http_headers& headers);

/// Formats the request line, the headers and `Content-Length` for a body of body_size bytes. An empty body
/// gets a length only for methods that usually carry a body.
std::string format_request_head(const http_request& request, std::size_t body_size);

/// Framing of a response body.
struct body_framing {
    std::optional<std::uint64_t> length; ///< In bytes; absent: chunked, unless it ends with the connection.
    bool close = false;                  ///< The connection is closed after the response.
    bool ends_with_connection = false;
};

/// Formats the status line, the headers and the framing headers.
std::string format_response_head(int status, const http_headers& headers, const body_framing& framing,
                                 std::string_view extra_headers = {});

/// Formats one chunk in chunked transfer coding. bytes must not be empty: that would end the body.
std::string format_chunk(std::string_view bytes);

constexpr std::string_view last_chunk = "0\r\n\r\n";

} // namespace wagtailhatch
