#pragma once

#include "include/core/clock.h"
#include "include/platform/table_service.h"

#include <chrono>
#include <memory>
#include <string>

namespace wagtailhatch {

class http_client;

/// The platform's object store over HTTP: objects are resources `/object/<percent-encoded name>`.
/// Errors are those of table_service. The client must outlive the store and its open calls.
std::unique_ptr<object_store> make_http_object_store(http_client& client, std::string address,
                                                     duration timeout = std::chrono::seconds{5});

} // namespace wagtailhatch
