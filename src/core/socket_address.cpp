#include "src/core/socket_address.h"

#include <asio/ip/address.hpp>

#include <charconv>

namespace wagtailhatch {
namespace {

// All callers reconnect at once after a restart; connections beyond a short backlog would be delayed by
// seconds.
constexpr int listen_backlog = 1024;

} // namespace

std::optional<asio::ip::tcp::endpoint> parse_address(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::error_code ec;
    auto host = text.substr(0, colon);
    const auto port_text = text.substr(colon + 1);
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed) {
        host = host.substr(1, host.size() - 2);
    }
    const auto ip = asio::ip::make_address(std::string{host}, ec);
    std::uint16_t port = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    const bool leading_zero = port_text.size() > 1 && port_text.front() == '0';
    if (ec || leading_zero || ip.is_v6() != bracketed || parsed.ec != std::errc{} || parsed.ptr != end ||
        colon + 1 == text.size()) {
        return std::nullopt;
    }
    return asio::ip::tcp::endpoint{ip, port};
}

std::string format_address(const asio::ip::tcp::endpoint& endpoint)
{
    const auto ip = endpoint.address().to_string();
    return (endpoint.address().is_v6() ? "[" + ip + "]" : ip) + ":" + std::to_string(endpoint.port());
}

std::error_code listen_on(asio::ip::tcp::acceptor& acceptor, const asio::ip::tcp::endpoint& endpoint)
{
    std::error_code ec;
    acceptor.open(endpoint.protocol(), ec);
    if (!ec) {
        acceptor.set_option(asio::socket_base::reuse_address{true}, ec);
    }
    if (!ec) {
        acceptor.bind(endpoint, ec);
    }
    if (!ec) {
        acceptor.listen(listen_backlog, ec);
    }
    return ec;
}

} // namespace wagtailhatch
