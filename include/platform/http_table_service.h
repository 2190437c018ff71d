#pragma once

#include "include/core/clock.h"
#include "include/platform/table_service.h"

#include <chrono>
#include <memory>
#include <string>

namespace wagtailhatch {

class http_client;

/// The platform's table over HTTP: rows are resources `/table/<percent-encoded key>` with entity tags
/// (RFC 9110). The client must outlive the service and its open calls.
std::unique_ptr<table_service> make_http_table_service(http_client& client, std::string address,
                                                       duration timeout = std::chrono::seconds{2});

} // namespace wagtailhatch
