#include "src/http1/socket_options.h"

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

using namespace wagtailhatch;
using namespace std::chrono_literals;

namespace {

int option_of(asio::ip::tcp::socket& socket, int level, int name)
{
    int value = 0;
    socklen_t size = sizeof value;
    REQUIRE(getsockopt(socket.native_handle(), level, name, &value, &size) == 0);
    return value;
}

} // namespace

// Guards against a connection that looks healthy forever although its peer has vanished silently. Without
// unacknowledged bytes only keep-alive probes detect that; with them only TCP_USER_TIMEOUT does so in time.
TEST_CASE("a configured socket detects an unresponsive peer, with and without unacknowledged bytes")
{
    asio::io_context io{1};
    asio::ip::tcp::acceptor acceptor{io, {asio::ip::address_v4::loopback(), 0}};
    asio::ip::tcp::socket socket{io};
    socket.connect(acceptor.local_endpoint());
    const auto peer_timeout = GENERATE(1500ms, 3000ms, 10000ms);
    configure_socket(socket, peer_timeout);
    CHECK(option_of(socket, IPPROTO_TCP, TCP_USER_TIMEOUT) == peer_timeout.count());
    CHECK(option_of(socket, SOL_SOCKET, SO_KEEPALIVE) == 1);
    const auto idle = std::chrono::seconds{option_of(socket, IPPROTO_TCP, TCP_KEEPIDLE)};
    const auto interval = std::chrono::seconds{option_of(socket, IPPROTO_TCP, TCP_KEEPINTVL)};
    const auto count = option_of(socket, IPPROTO_TCP, TCP_KEEPCNT);
    // Probe times are whole seconds, at least one.
    CHECK(idle + interval * count <= peer_timeout * 2 + 3s);
    CHECK(idle <= std::max<std::chrono::milliseconds>(peer_timeout, 1s));
}

// Guards against the kernel's limit for unacknowledged bytes on connections of slow readers: it ends
// connections that move, if the reader's small buffer causes losses.
TEST_CASE("a slow reader's socket has no kernel limit for unacknowledged bytes, but is probed when idle")
{
    asio::io_context io{1};
    asio::ip::tcp::acceptor acceptor{io, {asio::ip::address_v4::loopback(), 0}};
    asio::ip::tcp::socket socket{io};
    socket.connect(acceptor.local_endpoint());
    configure_slow_reader_socket(socket, 3000ms);
    CHECK(option_of(socket, IPPROTO_TCP, TCP_USER_TIMEOUT) == 0);
    CHECK(option_of(socket, SOL_SOCKET, SO_KEEPALIVE) == 1);
    CHECK(option_of(socket, IPPROTO_TCP, TCP_KEEPIDLE) == 1);
    // Bytes that the peer has acknowledged, or has room for, are no sign of a dead peer.
    socket.non_blocking(true);
    std::error_code ec;
    const std::string bytes(std::size_t{1} << 20, 'x');
    while (!ec) {
        socket.write_some(asio::buffer(bytes), ec);
    }
    CHECK_FALSE(peer_unresponsive(socket, 0ms));
}
