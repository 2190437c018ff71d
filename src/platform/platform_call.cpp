#include "src/platform/platform_call.h"

#include <utility>

namespace wagtailhatch {
namespace {

http_call make_call(const std::string& address, const char* method, std::string target, duration timeout)
{
    http_call call;
    call.address = address;
    call.request.method = method;
    call.request.target = std::move(target);
    call.timeout = timeout;
    return call;
}

errc status_error(int status, bool write)
{
    switch (status) {
    case 404:
        return errc::not_found;
    case 409:
    case 412:
        return errc::conflict;
    case 413:
        return errc::too_large;
    case 401:
    case 403:
        return errc::not_authorized;
    case 429:
    case 503:
        return errc::unavailable;
    default:
        break;
    }
    if (status >= 500) {
        // Other server errors do not say whether the write took effect.
        return write ? errc::timeout : errc::unavailable;
    }
    return status >= 400 ? errc::invalid_argument : errc::malformed;
}

} // namespace

http_call platform_read(const std::string& address, std::string target, duration timeout)
{
    return make_call(address, "GET", std::move(target), timeout);
}

http_call platform_write(const std::string& address, std::string target, std::string body, duration timeout)
{
    auto call = make_call(address, "PUT", std::move(target), timeout);
    call.request.body = std::move(body);
    call.never_repeat = true;
    return call;
}

bool platform_success(const http_result& result)
{
    return result.ok && result.response.status >= 200 && result.response.status < 300;
}

error platform_error(const http_result& result, bool write)
{
    if (result.ok) {
        return make_error(status_error(result.response.status, write),
                          "platform answered " + std::to_string(result.response.status));
    }
    if (result.reason.code == errc::cancelled || result.reason.code == errc::invalid_argument) {
        return result.reason;
    }
    const auto code = result.sent == delivery::not_sent ? errc::unavailable : errc::timeout;
    return make_error(code, result.reason.message());
}

} // namespace wagtailhatch
