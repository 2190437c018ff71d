#pragma once

#include "include/config/configuration.h"
#include "include/core/clock.h"
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

/// What the sessions of one listener share. Outlives them.
class caller_session_owner {
public:
    virtual ~caller_session_owner() = default;

    /// A whole request has been read, and its caller had not closed the connection by then.
    virtual void on_request(std::shared_ptr<caller_exchange> exchange) = 0;

    /// A whole request has been read, but its caller has closed the connection behind it.
    virtual void on_request_abandoned(const caller_exchange& exchange) = 0;
    virtual const caller_limits& limits() const = 0;

    /// Whether the node is stopping: answers announce the end of their connection.
    virtual bool draining() const = 0;

    /// Takes memory for a request body; false if the node holds too much already.
    virtual bool reserve_body(std::size_t bytes) = 0;
    virtual void release_body(std::size_t bytes) = 0;
    virtual const clock& time() const = 0;
    virtual void on_session_end(caller_session* session) = 0;
};

/// What a caller's connection is doing.
enum class session_state : std::uint8_t {
    idle,      ///< Waits for a request.
    reading,   ///< A request has come in part.
    answering, ///< A request runs or its answer is being written.
    closing,   ///< The last answer is written; the caller is to close.
};

/// Names in the order of session_state, for metrics and logs.
constexpr std::array<std::string_view, 4> session_state_names{"idle", "reading", "answering", "closing"};

/// One connection of a caller: reads requests, also several ahead, within the configured limits, and writes
/// the answers in order. Keeps reading while requests run, so that a caller that hangs up is noticed.
class caller_session final : public byte_stream, private message_events {
public:
    caller_session(asio::ip::tcp::socket socket, caller_session_owner& owner);
    ~caller_session() override;
    caller_session(const caller_session&) = delete;
    caller_session& operator=(const caller_session&) = delete;

    void start();

    /// Ends the connection if a time limit has passed, or if its caller has gone while reading is paused. To
    /// be called several times a second.
    void check(steady_time now);

    /// Closes the connection; requests in progress are told that their caller has gone.
    void end();

    /// Closes the connection unless a request is being read or answered.
    void close_if_idle();

    /// No request is being read or answered.
    bool idle() const { return exchanges_.empty() && !current_ && !parser_.started(); }
    session_state state() const;

    /// When the last request or answer ended, or bytes of a new request came.
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
    void reject(int status);
    void flush();
    void end_answer();
    void linger();
    void drop_all();

    caller_session_owner& owner_;
    message_parser parser_;
    std::shared_ptr<caller_exchange> current_;                ///< Being read; its head is complete.
    std::list<std::shared_ptr<caller_exchange>> exchanges_;   ///< In the order of the requests.
    std::vector<std::shared_ptr<caller_exchange>> unstarted_; ///< Of exchanges_, those not handed over yet.
    std::size_t body_reserved_ = 0; ///< Bytes taken for the bodies of current_ and exchanges_.
    steady_time last_activity_{};
    bool rejected_ = false;  ///< No further request is read.
    bool lingering_ = false; ///< The last answer is written; waits for the caller to close.
};

} // namespace wagtailhatch
