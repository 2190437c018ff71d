#pragma once

#include "include/core/clock.h"
#include "include/http/http_client.h"

#include <string>

namespace wagtailhatch {

/// A read; libcurl may repeat it.
http_call platform_read(const std::string& address, std::string target, duration timeout);

/// A write, on a connection on which libcurl cannot repeat it.
http_call platform_write(const std::string& address, std::string target, std::string body, duration timeout);

/// The error of a call without a successful answer, in the terms of table_service.
error platform_error(const http_result& result, bool write);

/// Whether the platform answered with success.
bool platform_success(const http_result& result);

} // namespace wagtailhatch
