#pragma once

#include "include/config/configuration.h"
#include "include/core/clock.h"
#include "include/core/result.h"
#include "src/http1/caller_session.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_map>

namespace wagtailhatch {

/// Callbacks of caller_listener to its owner.
class caller_listener_events {
public:
    virtual ~caller_listener_events() = default;

    /// A complete request whose caller had not closed the connection when it was read.
    virtual void on_request(std::shared_ptr<caller_exchange> exchange) = 0;

    /// A complete request whose caller has already closed the connection.
    virtual void on_request_abandoned(const caller_exchange& exchange) = 0;

    /// A caller's connection could not be accepted.
    virtual void on_accept_failure() = 0;

    virtual const caller_limits& limits() const = 0;

    /// Whether the node is stopping.
    virtual bool draining() const = 0;
};

struct caller_listener_options {
    asio::ip::tcp::endpoint address;
    /// Above this number of connections, those idle for the longest time are closed.
    std::size_t max_connections = 0;
};

/// Number of sessions in each session_state.
using session_counts = std::array<std::size_t, session_state_names.size()>;

/// Accepts connections of callers and owns their sessions. Closes idle connections in favour of new ones
/// before the process runs out of descriptors, because new callers would otherwise wait in the backlog
/// unnoticed. Single-threaded.
class caller_listener final : private caller_session_owner {
public:
    caller_listener(asio::io_context& io, const clock& time, caller_listener_options options,
                    body_budgets& body_memory, caller_listener_events& events);
    ~caller_listener() override;
    caller_listener(const caller_listener&) = delete;
    caller_listener& operator=(const caller_listener&) = delete;

    /// Listens and accepts. Fails with errc::unavailable and the address.
    result<bool> start();

    /// Accepts the connections already in the backlog and closes the listener. Open connections stay open.
    void stop_accepting();

    /// Closes all connections. Requests in progress are notified that their callers have disconnected.
    void close();

    /// Closes connections that have timed out or whose callers have disconnected. Call several times a
    /// second.
    void check_sessions();

    std::size_t size() const { return sessions_.size(); }
    session_counts count_sessions() const;

    /// Number of connections on which a request is running or part of a response is not written yet.
    std::size_t count_unfinished() const;
    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

private:
    // caller_session_owner
    void on_request(std::shared_ptr<caller_exchange> exchange) override;
    void on_request_abandoned(const caller_exchange& exchange) override;
    const caller_limits& limits() const override { return events_.limits(); }
    bool draining() const override { return events_.draining(); }
    body_budgets& body_memory() override { return body_memory_; }
    const clock& time() const override { return time_; }
    void on_session_end(caller_session* session) override { sessions_.erase(session); }

    void accept();
    void on_accept(const std::error_code& ec, asio::ip::tcp::socket socket);
    void accept_backlog();
    void start_session(asio::ip::tcp::socket socket);
    void record_accept_failure(const std::error_code& reason);
    void check_accepting(steady_time now);
    /// Closes the part of the connections that has been idle for longest; false if none has been idle long
    /// enough.
    bool close_longest_idle();

    asio::io_context& io_;
    const clock& time_;
    caller_listener_options options_;
    body_budgets& body_memory_;
    caller_listener_events& events_;
    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer pause_timer_;
    std::unordered_map<caller_session*, std::shared_ptr<caller_session>> sessions_;
    std::uint64_t accept_failures_ = 0; ///< Of the current series.
    steady_time first_accept_failure_{};
    steady_time last_accept_failure_{};
};

} // namespace wagtailhatch
