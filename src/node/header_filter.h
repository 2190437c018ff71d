#pragma once

#include "include/http/http_message.h"

#include <string>
#include <string_view>

namespace wagtailhatch {

/// Removes what must not reach a target: credentials, every `wh-*` header and the connection's own
/// (hop-by-hop) headers. `Content-Length` and `Host` are written again by the HTTP client.
void filter_request_headers(http_headers& headers);

/// Removes hop-by-hop and `wh-*` headers of a target's response.
void filter_response_headers(http_headers& headers);

/// Whether the key occurs in the URL (plain or percent-encoded), in a header other than
/// `Authorization`, or in the body. Such requests are refused, so that no target can see the key.
bool key_leaks(const http_request& request, std::string_view key);

/// The token of `Authorization: Bearer <token>`; empty if there is none or more than one such header.
std::string bearer_token(const http_headers& headers);

} // namespace wagtailhatch
