#pragma once

#include "include/core/result.h"
#include "include/http/http_client.h"
#include "include/platform/table_service.h"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace wagtailhatch {

/// whctl's connections to the platform and to nodes' admin listeners. run() waits for what was started.
struct platform_link {
    asio::io_context io;
    std::unique_ptr<http_client> client;
    std::unique_ptr<table_service> table;
    std::unique_ptr<object_store> objects;

    /// Runs the event loop until finished() is true.
    void run_until(const std::function<bool()>& finished)
    {
        io.restart();
        while (!finished() && io.run_one() != 0) {
        }
    }
};

/// An empty address gives a link without table and objects, for asking nodes only.
result<std::unique_ptr<platform_link>> make_platform_link(const std::string& address);

} // namespace wagtailhatch
