#include "src/peer/transport_core.h"

#include "src/peer/endpoint.h"
#include "src/peer/frame.h"

#include <asio/post.hpp>

#include <random>
#include <utility>

namespace wagtailhatch {
namespace {

using asio::ip::tcp;

/// Bound of the memory for a peer that reads slower than this node writes.
constexpr std::size_t max_queued_bytes = std::size_t{64} << 20;
/// Pause after a failed accept, for example when file descriptors ran out.
constexpr std::chrono::milliseconds accept_retry{100};

std::uint64_t random_number()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32) | device();
}

} // namespace

transport_core::transport_core(asio::io_context& io, const clock& time, peer_options options,
                               tcp::acceptor acceptor, peer_address local)
    : io_{io}
    , time_{time}
    , options_{std::move(options)}
    , tls_{options_.secret}
    , acceptor_{std::move(acceptor)}
    , accept_timer_{io}
    , ping_timer_{io}
    , self_{std::move(local), random_number()}
{
}

void transport_core::start()
{
    accept();
    schedule_ping();
}

request_id transport_core::request(const peer_address& to, channel c, const std::string& payload,
                                   duration timeout, peer_transport::completion done)
{
    const request_id id = ++last_id_;
    if (payload.size() > max_frame_payload) {
        fail_later(make_error(errc::too_large, "request to " + to), std::move(done));
        return id;
    }
    if (shutting_down_) {
        fail_later(make_error(errc::shutting_down, "request to " + to), std::move(done));
        return id;
    }
    const auto connection = connection_to(to);
    if (!connection) {
        fail_later(make_error(errc::invalid_argument, "peer address " + to), std::move(done));
        return id;
    }
    if (connection->queued_bytes() + payload.size() > max_queued_bytes) {
        fail_later(make_error(errc::unavailable, "write queue full to " + to), std::move(done));
        return id;
    }
    requests_[id] = connection;
    connection->request(id, c, payload, timeout, std::move(done));
    return id;
}

void transport_core::cancel(request_id id)
{
    const auto found = requests_.find(id);
    if (found != requests_.end()) {
        const auto connection = found->second;
        connection->cancel(id);
    }
}

void transport_core::set_handler(channel c, peer_transport::handler h)
{
    handlers_.at(static_cast<std::size_t>(c)) = std::move(h);
}

void transport_core::shutdown(std::function<void()> done)
{
    shutting_down_ = true;
    shutdown_done_ = std::move(done);
    stop_accepting();
    for (const auto& connection : std::set<connection_ptr>{connections_}) {
        if (connection->ready()) {
            connection->go_away();
        }
        else if (!connection->dialed()) {
            connection->fail(make_error(errc::shutting_down, "accepted connection"));
        }
    }
    report_shutdown();
}

void transport_core::stop()
{
    stopped_ = true;
    shutting_down_ = true;
    stop_accepting();
    ping_timer_.cancel();
    for (const auto& connection : std::exchange(connections_, {})) {
        connection->detach();
    }
    peers_.clear();
    requests_.clear();
    unauthenticated_.clear();
    handlers_ = {};
    peer_lost_ = nullptr;
    shutdown_done_ = nullptr;
}

void transport_core::connection_ready(const connection_ptr& connection)
{
    unauthenticated_.remove(connection);
    const bool to_itself = !connection->dialed() && connection->peer_process() == self_.process;
    if (!to_itself) {
        choose_connection(connection);
    }
    if (shutting_down_) {
        connection->go_away();
    }
}

void transport_core::connection_closed(const connection_ptr& connection, bool planned)
{
    unauthenticated_.remove(connection);
    connections_.erase(connection);
    const auto found = peers_.find(connection->peer());
    if (found != peers_.end() && found->second == connection) {
        peers_.erase(found);
    }
    if (!planned && !connection->peer().empty()) {
        asio::post(io_, [core = shared_from_this(), peer = connection->peer()] {
            if (core->peer_lost_) {
                core->peer_lost_(peer);
            }
        });
    }
    report_shutdown();
}

void transport_core::request_received(channel c, std::shared_ptr<peer_request> request)
{
    const auto handler = handlers_.at(static_cast<std::size_t>(c));
    if (handler) {
        handler(std::move(request));
    }
}

transport_core::connection_ptr transport_core::connection_to(const peer_address& to)
{
    const auto found = peers_.find(to);
    if (found != peers_.end() && found->second->usable()) {
        return found->second;
    }
    const auto target = parse_peer_address(to);
    if (!target) {
        return nullptr;
    }
    auto connection =
        std::make_shared<peer_connection>(io_, tls_.context(), tcp::socket{io_}, *this, time_, self_, to);
    peers_[to] = connection;
    connections_.insert(connection);
    connection->dial({target->first, target->second}, options_.handshake_timeout);
    return connection;
}

void transport_core::choose_connection(const connection_ptr& connection)
{
    auto& current = peers_[connection->peer()];
    const auto other = current;
    if (!other || other == connection || !other->usable()) {
        current = connection;
        return;
    }
    if (other->ready() && other->peer_process() != connection->peer_process()) {
        current = connection; // The peer was restarted under the same address.
        other->fail(make_error(errc::connection_lost, "peer restarted: " + connection->peer()));
        return;
    }
    // A peer dials a second time only after it gave up its first connection.
    const bool keep_new = other->dialed() == connection->dialed() || dialer(*connection) < dialer(*other);
    current = keep_new ? connection : other;
    const auto& surplus = keep_new ? other : connection;
    if (surplus->ready()) {
        surplus->go_away(); // One that is still connecting comes here again.
    }
}

const peer_address& transport_core::dialer(const peer_connection& connection) const
{
    return connection.dialed() ? self_.address : connection.peer();
}

void transport_core::accept()
{
    acceptor_.async_accept([core = shared_from_this()](const std::error_code& failure, tcp::socket socket) {
        if (core->shutting_down_) {
            return;
        }
        if (failure) {
            core->accept_timer_.expires_after(accept_retry);
            core->accept_timer_.async_wait([core](const std::error_code& cancelled) {
                if (!cancelled && !core->shutting_down_) {
                    core->accept();
                }
            });
            return;
        }
        core->admit(std::move(socket));
        core->accept();
    });
}

void transport_core::admit(tcp::socket socket)
{
    // The oldest goes, because honest peers finish their handshake in milliseconds.
    if (unauthenticated_.size() >= options_.max_unauthenticated) {
        const auto oldest = unauthenticated_.front();
        oldest->fail(make_error(errc::unavailable, "too many unauthenticated connections"));
    }
    auto connection = std::make_shared<peer_connection>(io_, tls_.context(), std::move(socket), *this, time_,
                                                        self_, peer_address{});
    connections_.insert(connection);
    unauthenticated_.push_back(connection);
    connection->serve(options_.handshake_timeout);
}

void transport_core::schedule_ping()
{
    ping_timer_.expires_after(options_.ping_interval);
    ping_timer_.async_wait([core = shared_from_this()](const std::error_code& cancelled) {
        if (cancelled || core->stopped_) {
            return;
        }
        for (const auto& connection : std::set<connection_ptr>{core->connections_}) {
            connection->tick(core->options_.idle_timeout);
        }
        if (!core->shutting_down_ || !core->connections_.empty()) {
            core->schedule_ping();
        }
    });
}

void transport_core::stop_accepting()
{
    std::error_code ignored;
    acceptor_.close(ignored);
    accept_timer_.cancel();
}

void transport_core::report_shutdown()
{
    if (!shutting_down_ || !connections_.empty() || !shutdown_done_) {
        return;
    }
    ping_timer_.cancel();
    asio::post(io_, [core = shared_from_this(), done = std::exchange(shutdown_done_, nullptr)] {
        if (!core->stopped_) {
            done();
        }
    });
}

void transport_core::fail_later(error reason, peer_transport::completion done)
{
    asio::post(io_, [core = shared_from_this(), reason = std::move(reason), done = std::move(done)] {
        if (!core->stopped_) {
            done({false, {}, {reason, delivery::not_sent}});
        }
    });
}

} // namespace wagtailhatch
