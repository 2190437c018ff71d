#pragma once

/// HTTP status codes that nodes send or distinguish.
namespace wagtailhatch::http_status {

constexpr int switching_protocols = 101;
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

/// Whether a final response follows. 101 is none of these: it ends HTTP on the connection.
constexpr bool is_interim(int status)
{
    return status >= 100 && status < 200 && status != switching_protocols;
}

/// Whether the status is one of a final response.
constexpr bool is_final(int status)
{
    return status >= 200 && status < 600;
}

/// Whether the status is of the 2xx class.
constexpr bool is_success(int status)
{
    return status >= 200 && status < 300;
}

} // namespace wagtailhatch::http_status
