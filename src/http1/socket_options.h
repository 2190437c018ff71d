#pragma once

#include <asio/ip/tcp.hpp>

#include <chrono>

namespace wagtailhatch {

/// Makes a connected socket non-blocking, disables Nagle's algorithm, and lets the kernel close the
/// connection when the peer is unresponsive: sent bytes stay unacknowledged for the given time, or keep-alive
/// probes go unanswered. A connection whose state a middlebox has dropped gives no other sign of it.
void configure_socket(asio::ip::tcp::socket& socket, std::chrono::milliseconds peer_timeout);

/// As configure_socket(), but for a peer that may read slowly. The kernel's time limit for unacknowledged
/// bytes also ends a connection on which a full receive buffer of the peer causes losses while bytes still
/// move. peer_unresponsive() takes its place; it must be polled.
void configure_slow_reader_socket(asio::ip::tcp::socket& socket, std::chrono::milliseconds peer_timeout);

/// Whether sent bytes are unacknowledged and the peer has answered neither them nor repeated probes for the
/// given time. A peer that reads slowly or not at all still answers. False if the kernel does not tell.
bool peer_unresponsive(asio::ip::tcp::socket& socket, std::chrono::milliseconds peer_timeout);

} // namespace wagtailhatch
