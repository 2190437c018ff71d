#pragma once

#include "include/config/configuration.h"
#include "include/core/clock.h"
#include "include/core/memory_budget.h"
#include "src/http1/byte_stream.h"
#include "src/http1/caller_exchange.h"
#include "src/http1/message_parser.h"

#include <array>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string_view>
#include <vector>

namespace wagtailhatch {

/// Services shared by the sessions of one listener. Outlives the sessions.
class caller_session_owner {
public:
    virtual ~caller_session_owner() = default;

    /// A complete request was read, and its caller had not closed the connection by then.
    virtual void on_request(std::shared_ptr<caller_exchange> exchange) = 0;

    /// A complete request was read, but its caller has already closed the connection.
    virtual void on_request_abandoned(const caller_exchange& exchange) = 0;
    virtual const caller_limits& limits() const = 0;

    /// Whether the node is stopping. Responses then carry `Connection: close`.
    virtual bool draining() const = 0;

    virtual body_budgets& body_memory() = 0;
    virtual const clock& time() const = 0;
    virtual void on_session_end(caller_session* session) = 0;
};

/// State of a caller's connection.
enum class session_state : std::uint8_t {
    idle,      ///< Waiting for a request.
    reading,   ///< Part of a request has arrived.
    answering, ///< A request is running or its response is being written.
    closing,   ///< The last response is written; waiting for the caller to close.
};

/// Names of session_state values in order, for metrics and logs.
constexpr std::array<std::string_view, 4> session_state_names{"idle", "reading", "answering", "closing"};

/// Server side of one HTTP/1.1 connection of a caller. Reads requests, pipelined ones included, within the
/// configured limits, and writes the responses in order. Keeps reading while requests run in order to detect
/// that the caller disconnects.
class caller_session final : public byte_stream, private message_events {
public:
    caller_session(asio::ip::tcp::socket socket, caller_session_owner& owner);
    ~caller_session() override = default;
    caller_session(const caller_session&) = delete;
    caller_session& operator=(const caller_session&) = delete;

    void start();

    /// Closes the connection if it has timed out, or if its caller has disconnected while reading is paused.
    /// Call several times a second.
    void check(steady_time now);

    /// Closes the connection. Requests in progress are notified that their caller has disconnected.
    void end();

    /// Closes the connection unless a request is being read or a response is pending or being written.
    void close_if_idle();

    /// Whether no request is being read and no response is pending.
    bool idle() const { return exchanges_.empty() && !current_ && !parser_.started(); }
    session_state state() const;

    /// When the last request or response ended, or the first bytes of a new request arrived.
    steady_time last_activity() const { return last_activity_; }

private:
    friend class caller_exchange;

    // byte_stream
    void on_bytes(std::string_view bytes) override;
    void on_read_end() override;
    void on_sent(std::size_t bytes) override;
    void on_closed(const std::error_code& reason) override;

    // message_events
    void on_head(message_head head) override;
    void on_body(std::string_view bytes) override;

    void parse(std::string_view bytes);
    void request_complete();
    /// Reserves memory for a body of the current request that has grown to this size; false if there is none.
    bool reserve_for_body(std::size_t size);
    void reject(int status);
    /// Decides whether the response to this exchange closes the connection. If so, no further request is
    /// read.
    bool closes_with(const caller_exchange& exchange);
    void flush();
    void finish_response();
    void linger();
    void drop_exchanges();

    caller_session_owner& owner_;
    message_parser parser_;
    std::shared_ptr<caller_exchange> current_;              ///< Request being read; its head is complete.
    std::list<std::shared_ptr<caller_exchange>> exchanges_; ///< In the order of the requests.
    std::vector<std::shared_ptr<caller_exchange>> undispatched_; ///< Not yet passed to the owner.
    steady_time last_activity_{};
    bool no_more_requests_ = false; ///< No further requests are read.
    bool lingering_ = false;        ///< The last response is written; waiting for the caller to close.
};

} // namespace wagtailhatch
