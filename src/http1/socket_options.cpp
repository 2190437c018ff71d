#include "src/http1/socket_options.h"

#include <algorithm>
#include <netinet/tcp.h>
#include <optional>
#include <sys/socket.h>

namespace wagtailhatch {
namespace {

constexpr int probe_count = 2;

void set_option(int fd, int level, int name, int value)
{
    // Setting options fails on a socket that the peer has reset; the next read reports the reset.
    static_cast<void>(setsockopt(fd, level, name, &value, sizeof value));
}

// Unanswered probes or retransmissions after which silence is not just a pause between them.
constexpr int min_unanswered = 2;

std::optional<tcp_info> read_tcp_info(asio::ip::tcp::socket& socket)
{
    tcp_info info{};
    socklen_t size = sizeof info;
    if (getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
        return std::nullopt;
    }
    return info;
}

} // namespace

void configure_socket(asio::ip::tcp::socket& socket, std::chrono::milliseconds peer_timeout)
{
    std::error_code ignored;
    socket.non_blocking(true, ignored);
    const int fd = socket.native_handle();
    const auto seconds = static_cast<int>(
        std::max<long>(1, std::chrono::duration_cast<std::chrono::seconds>(peer_timeout).count() / 2));
    set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(peer_timeout.count()));
    set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, seconds);
    set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, seconds);
    set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, probe_count);
}

void configure_slow_reader_socket(asio::ip::tcp::socket& socket, std::chrono::milliseconds peer_timeout)
{
    configure_socket(socket, peer_timeout);
    if (read_tcp_info(socket)) {
        set_option(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, 0);
    }
}

bool peer_unresponsive(asio::ip::tcp::socket& socket, std::chrono::milliseconds peer_timeout)
{
    const auto info = read_tcp_info(socket);
    if (!info) {
        return false;
    }
    const bool repeated = info->tcpi_retransmits >= min_unanswered || info->tcpi_probes >= min_unanswered;
    return repeated && std::chrono::milliseconds{info->tcpi_last_ack_recv} >= peer_timeout;
}

} // namespace wagtailhatch
