#pragma once

#include "include/core/result.h"
#include "include/http/http_message.h"

#include <asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace wagtailhatch {

/// One request, and the means to respond to it. If it is destroyed without a response, 500 is sent.
/// Single-threaded.
class http_exchange {
public:
    virtual ~http_exchange() = default;
    virtual http_request& request() = 0;

    /// Sends a complete response. Calls after the first are ignored. A status outside 200 to 599 is sent as
    /// 500; invalid and hop-by-hop headers are omitted.
    virtual void respond(http_response response) = 0;

    /// Runs once if the client disconnects before respond().
    virtual void on_disconnect(std::function<void()> callback) = 0;
};

/// Limits are enforced while reading, before anything beyond them is buffered. Sizes are in bytes.
struct http_server_options {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0; ///< 0: an ephemeral port.
    std::size_t max_url = std::size_t{8} << 10;
    std::size_t max_header_field = std::size_t{16} << 10;
    std::size_t max_header_count = 100;
    std::size_t max_body = std::size_t{8} << 20;
    std::size_t max_connections = 1000;
    std::chrono::milliseconds read_timeout{
        10'000}; ///< For a complete request to arrive, and for idle keep-alive connections.
    std::chrono::milliseconds handle_timeout{120'000}; ///< Time limit for a handler to respond.
};

/// HTTP/1.1 server. Handlers run on the thread of the io_context.
class http_server {
public:
    using handler = std::function<void(std::shared_ptr<http_exchange>)>;

    virtual ~http_server() = default;
    virtual std::uint16_t port() const = 0;

    /// Stops accepting connections and closes idle ones. Pending responses are still sent, the last one of a
    /// connection with `Connection: close`; requests that arrive on open connections are rejected with 503.
    virtual void drain() = 0;

    /// Closes the listener and all connections.
    virtual void stop() = 0;
};

/// Opens the listener. Fails with the system error or errc::invalid_argument, and the address.
result<std::unique_ptr<http_server>>
make_http_server(asio::io_context& io, const http_server_options& options, http_server::handler handler);

} // namespace wagtailhatch
