#include "src/peer/endpoint.h"

#include <charconv>

namespace wagtailhatch {

std::optional<ip_and_port> parse_peer_address(const peer_address& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || text.size() > max_peer_address_size) {
        return std::nullopt;
    }
    std::string host = text.substr(0, colon);
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed) {
        host = host.substr(1, host.size() - 2);
    }
    std::error_code failure;
    const auto ip = asio::ip::make_address(host, failure);
    if (failure || ip.is_v6() != bracketed) {
        return std::nullopt;
    }
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (parsed.ec != std::errc{} || parsed.ptr != end) {
        return std::nullopt;
    }
    return ip_and_port{ip, port};
}

peer_address format_peer_address(const asio::ip::address& ip, std::uint16_t port)
{
    const std::string host = ip.is_v6() ? "[" + ip.to_string() + "]" : ip.to_string();
    return host + ":" + std::to_string(port);
}

std::optional<peer_address> advertised_peer_address(const std::string& advertised,
                                                    const asio::ip::address& listen, std::uint16_t port)
{
    if (advertised.empty()) {
        return format_peer_address(listen, port);
    }
    if (const auto full = parse_peer_address(advertised)) {
        return format_peer_address(full->first, full->second == 0 ? port : full->second);
    }
    std::error_code failure;
    const auto ip = asio::ip::make_address(advertised, failure);
    if (failure) {
        return std::nullopt;
    }
    return format_peer_address(ip, port);
}

} // namespace wagtailhatch
