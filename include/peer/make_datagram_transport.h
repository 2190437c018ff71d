#pragma once

#include "include/core/clock.h"
#include "include/core/result.h"
#include "include/peer/peer_transport.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace asio {
class io_context;
}

namespace wagtailhatch {

constexpr std::size_t max_datagram_payload = 1200; ///< Bytes.

/// Settings of the UDP transport.
struct datagram_options {
    std::string listen_address = "127.0.0.1"; ///< IP number.
    std::uint16_t port = 0;                   ///< 0: chosen by the system; usually the port of the peer TCP.
    std::string advertised_address; ///< IP number, or IP number and port; empty: the listen address.
    std::string secret;             ///< Shared by all nodes; at least 16 bytes.
    std::uint64_t incarnation = 0;  ///< Raised by each start; wall clock microseconds will do.
    std::size_t max_senders = 4096; ///< Senders remembered against replay; the longest unheard is forgotten.
};

/// Opens the socket. Errors: errc::invalid_argument (addresses, secret), errc::unavailable (cannot bind).
/// Payloads above max_datagram_payload are not sent.
result<std::unique_ptr<datagram_transport>> make_datagram_transport(asio::io_context& io, const clock& time,
                                                                    const datagram_options& options);

} // namespace wagtailhatch
