#pragma once

#include <asio/ip/tcp.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace wagtailhatch {

/// Parses "10.0.0.1:4000" or "[::1]:4000"; host names are not resolved. Nothing if the text is invalid.
std::optional<asio::ip::tcp::endpoint> parse_address(std::string_view text);

std::string format_address(const asio::ip::tcp::endpoint& endpoint);

/// Opens the socket with SO_REUSEADDR, binds it and listens, so that a restarted process can bind its address
/// at once.
std::error_code listen_on(asio::ip::tcp::acceptor& acceptor, const asio::ip::tcp::endpoint& endpoint);

} // namespace wagtailhatch
