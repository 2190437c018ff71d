#pragma once

#include "include/peer/make_peer_transport.h"
#include "src/peer/peer_connection.h"
#include "src/peer/psk_context.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <list>
#include <set>
#include <unordered_map>

namespace wagtailhatch {

constexpr std::size_t channel_count = static_cast<std::size_t>(channel::group) + 1;

/// State of the transport; outlives it while handlers are pending.
class transport_core final : public peer_connection::owner,
                             public std::enable_shared_from_this<transport_core> {
public:
    using connection_ptr = std::shared_ptr<peer_connection>;

    transport_core(asio::io_context& io, const clock& time, peer_options options,
                   asio::ip::tcp::acceptor acceptor, peer_address local);

    void start();

    request_id request(const peer_address& to, channel c, const std::string& payload, duration timeout,
                       peer_transport::completion done);

    void cancel(request_id id);

    void set_handler(channel c, peer_transport::handler h);
    void on_peer_lost(std::function<void(const peer_address&)> callback) { peer_lost_ = std::move(callback); }
    const peer_address& local_address() const { return self_.address; }

    void shutdown(std::function<void()> done);

    /// The transport ends: nothing is called back from here on.
    void stop();

    void connection_ready(const connection_ptr& connection) override;

    void connection_closed(const connection_ptr& connection, bool planned) override;

    void request_finished(request_id id) override { requests_.erase(id); }

    void request_received(channel c, std::shared_ptr<peer_request> request) override;

private:
    connection_ptr connection_to(const peer_address& to);

    /// Keeps one connection for new requests when both nodes connected to each other.
    void choose_connection(const connection_ptr& connection);

    const peer_address& dialer(const peer_connection& connection) const;

    void accept();

    void admit(asio::ip::tcp::socket socket);

    void schedule_ping();

    void stop_accepting();

    void report_shutdown();

    void fail_later(error reason, peer_transport::completion done);

    asio::io_context& io_;
    const clock& time_;
    peer_options options_;
    psk_context tls_;
    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer accept_timer_;
    asio::steady_timer ping_timer_;
    peer_identity self_;
    std::set<connection_ptr> connections_;
    std::list<connection_ptr> unauthenticated_; ///< In order of arrival.
    std::unordered_map<peer_address, connection_ptr> peers_;
    std::unordered_map<request_id, connection_ptr> requests_;
    std::array<peer_transport::handler, channel_count> handlers_;
    std::function<void(const peer_address&)> peer_lost_;
    std::function<void()> shutdown_done_;
    request_id last_id_ = 0;
    bool shutting_down_ = false;
    bool stopped_ = false;
};

} // namespace wagtailhatch
