#pragma once

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <thread>

namespace wagtailhatch::testing {

/// Fault that a proxy injects.
enum class proxy_mode : std::uint8_t {
    pass,
    delay,           ///< Delays each chunk by a fixed time before it is forwarded.
    drop_upstream,   ///< Discards bytes from the client; connections stay open.
    drop_downstream, ///< Discards bytes from the server; connections stay open.
    drop_both,       ///< Discards bytes in both directions, as if a NAT or firewall had lost the connection.
    refuse,          ///< Resets new connections.
};

constexpr std::array<std::string_view, 6> proxy_mode_names{
    "pass", "delay", "drop_upstream", "drop_downstream", "drop_both", "refuse"};

constexpr std::string_view to_string(proxy_mode m)
{
    return proxy_mode_names.at(static_cast<std::size_t>(m));
}

/// Fault-injecting TCP proxy on the loopback interface. Runs on its own thread; the public functions may be
/// called from any thread.
class loopback_proxy {
public:
    /// Listens on an ephemeral port of 127.0.0.1 and forwards connections to target, given as "IP:PORT".
    explicit loopback_proxy(const std::string& target);
    ~loopback_proxy();
    loopback_proxy(const loopback_proxy&) = delete;
    loopback_proxy& operator=(const loopback_proxy&) = delete;

    std::string address() const { return address_; }
    void set_mode(proxy_mode mode) { mode_ = mode; }

    /// Resets all open connections.
    void reset_connections();

private:
    struct connection;
    friend struct connection;

    void accept();

    asio::io_context io_{1};
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    asio::ip::tcp::endpoint target_;
    asio::ip::tcp::acceptor acceptor_;
    std::string address_;
    std::atomic<proxy_mode> mode_ = proxy_mode::pass;
    std::set<std::shared_ptr<connection>> connections_; ///< Accessed only on the proxy's thread.
    std::thread thread_;
};

} // namespace wagtailhatch::testing
