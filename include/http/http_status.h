#pragma once

/// HTTP status codes that nodes send or distinguish.
namespace wagtailhatch::http_status {

constexpr int ok = 200;
constexpr int bad_request = 400;
constexpr int unauthorized = 401;
constexpr int not_found = 404;
constexpr int gone = 410;
constexpr int precondition_failed = 412;
constexpr int misdirected_request = 421;
constexpr int too_many_requests = 429;
constexpr int internal_error = 500; ///< Also the lower bound of the 5xx class.
constexpr int bad_gateway = 502;
constexpr int unavailable = 503;
constexpr int gateway_timeout = 504;

/// Whether the status is of the 2xx class.
constexpr bool is_success(int status)
{
    return status >= 200 && status < 300;
}

} // namespace wagtailhatch::http_status
