#pragma once

#include "include/core/clock.h"
#include "include/core/result.h"
#include "include/peer/peer_transport.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace asio {
class io_context;
}

namespace wagtailhatch {

/// Settings of the peer TCP transport.
struct peer_options {
    std::string listen_address = "127.0.0.1"; ///< IP number.
    std::uint16_t port = 0;                   ///< 0: chosen by the system.
    std::string advertised_address; ///< IP number, or IP number and port; empty: the listen address.
    std::string secret;             ///< Shared by all nodes; at least 16 bytes.
    duration handshake_timeout = std::chrono::seconds{3}; ///< From connect or accept to the peer's hello.
    duration ping_interval = std::chrono::seconds{1};     ///< Three unanswered pings end a connection.
    duration idle_timeout = std::chrono::minutes{1};      ///< Connections without requests are closed.
    std::size_t max_unauthenticated = 256; ///< Accepted connections without proof; the oldest is closed.
};

/// Starts listening. Errors: errc::invalid_argument (addresses, secret), errc::unavailable (cannot listen).
/// Destroying the transport closes its connections and drops completions that have not run.
result<std::unique_ptr<peer_transport>> make_peer_transport(asio::io_context& io, const clock& time,
                                                            const peer_options& options);

} // namespace wagtailhatch
