#pragma once

#include <asio/ip/tcp.hpp>

#include <chrono>

namespace wagtailhatch {

/// Makes a connected socket non-blocking, disables Nagle's algorithm, and lets the kernel close the
/// connection when the peer is unresponsive: sent bytes stay unacknowledged for the given time, or keep-alive
/// probes go unanswered. A connection whose state a middlebox has dropped gives no other sign of it.
void configure_socket(asio::ip::tcp::socket& socket, std::chrono::milliseconds peer_timeout);

} // namespace wagtailhatch
