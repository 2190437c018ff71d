#pragma once

#include "include/peer/peer_transport.h"

#include <asio/ip/address.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace wagtailhatch {

using ip_and_port = std::pair<asio::ip::address, std::uint16_t>;

/// Longest text of an address with port that is accepted from outside.
constexpr std::size_t max_peer_address_size = 64;

/// Reads "127.0.0.1:4000" or "[::1]:4000".
std::optional<ip_and_port> parse_peer_address(const peer_address& text);

peer_address format_peer_address(const asio::ip::address& ip, std::uint16_t port);

/// The address that a node tells its peers. advertised is empty, an IP number, or an IP number and port;
/// nothing if it is none of these.
std::optional<peer_address> advertised_peer_address(const std::string& advertised,
                                                    const asio::ip::address& listen, std::uint16_t port);

} // namespace wagtailhatch
