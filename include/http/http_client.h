#pragma once

#include "include/core/clock.h"
#include "include/core/result.h"
#include "include/http/http_message.h"

#include <asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace wagtailhatch {

/// Whether the peer may have received a request that failed.
enum class delivery : std::uint8_t { not_sent, maybe_sent };

struct http_client_options {
    std::size_t max_connections_per_host = 0;         ///< 0: unlimited.
    std::size_t max_response = std::size_t{16} << 20; ///< Bytes; larger bodies fail with errc::too_large.
};

struct http_call {
    std::string address; ///< IP address and port, as in "127.0.0.1:8080".
    http_request request;
    duration timeout{}; ///< Covers connecting, sending and receiving; not enforced during a wait for a free
                        ///< connection.
    bool no_retry = false; ///< Uses a new connection, on which libcurl cannot send the request twice.
    /// Bytes of the response's body; 0: as for all calls of the client.
    std::size_t max_response = 0;
};

/// A complete response, or the reason of the failure.
struct http_result {
    bool ok = false;
    http_response response;     ///< Valid if ok, with the complete body: truncated bodies are failures.
    wagtailhatch::error reason; ///< Valid if !ok.
    delivery sent = delivery::maybe_sent; ///< If !ok: not_sent only if no byte of the request was sent.
};

/// Asynchronous HTTP/1.1 client on an event loop. Ignores proxy settings of the environment and does not
/// follow redirects. Single-threaded.
class http_client {
public:
    using completion = std::function<void(http_result)>;
    using call_id = std::uint64_t;

    virtual ~http_client() = default;

    /// Starts a request. The completion runs exactly once, never from within this call, unless the client is
    /// destroyed while the transfer is in progress.
    virtual call_id start(http_call call, completion done) = 0;

    /// Cancels a call and closes its connection. The completion runs with errc::cancelled. An id of a
    /// finished call is ignored.
    virtual void cancel(call_id id) = 0;
};

/// Creates a client on libcurl. Fails with errc::unavailable if libcurl cannot be initialized.
result<std::unique_ptr<http_client>> make_http_client(asio::io_context& io,
                                                      const http_client_options& options);

} // namespace wagtailhatch
