#pragma once

#include "include/core/clock.h"
#include "src/http1/byte_stream.h"
#include "src/http1/message_parser.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace wagtailhatch {

/// How an exchange with a target failed.
enum class target_failure : std::uint8_t {
    not_connected, ///< No byte of the request was sent.
    refused,       ///< As not_connected: nobody listens at the target's address.
    no_answer,     ///< The connection ended before an answer began.
    cut,           ///< The answer ended early.
    garbled,       ///< The bytes were no answer to this request.
};

/// Receives the answer of a target. One thread; calls never come from within target_connection::exchange().
class target_events {
public:
    virtual ~target_events() = default;

    /// Whether the response answers the request in progress; false for a late answer to an earlier one, which
    /// is then skipped.
    virtual bool accepts(const message_head& head) = 0;
    virtual void on_answer_head(message_head head) = 0;
    virtual void on_answer_data(std::string_view bytes) = 0;
    virtual void on_answer_end() = 0;
    virtual void on_target_failure(target_failure failure) = 0;
};

class target_connection;

/// Told when a connection changes between busy, idle and closed.
class target_connection_owner {
public:
    virtual ~target_connection_owner() = default;
    virtual void on_idle(target_connection& connection) = 0;
    virtual void on_end(target_connection& connection) = 0;
};

/// One connection to the target, with one request at a time. Bytes that no request waits for end it.
class target_connection final : public byte_stream, private message_events {
public:
    target_connection(asio::ip::tcp::socket socket, target_connection_owner& owner, const clock& time);

    /// Connects and then sends the request.
    void connect(const asio::ip::tcp::endpoint& to, std::string request, bool head_request,
                 std::shared_ptr<target_events> events);

    /// Sends a request on an idle connection.
    void exchange(std::string request, bool head_request, std::shared_ptr<target_events> events);

    /// Closes the connection, which ends the target's work on the request. No event follows.
    void cancel();

    bool idle() const { return is_open() && !events_ && reusable_; }
    steady_time idle_since() const { return idle_since_; }

    /// When the target closes the connection if it stays idle, as far as it said so.
    duration idle_limit() const { return idle_limit_; }

private:
    void on_bytes(std::string_view bytes) override;
    void on_sent(std::size_t) override {}
    void on_closed(const std::error_code& reason) override;
    void on_head(message_head head) override;
    void on_body(std::string_view bytes) override;

    void answer_complete(bool surplus);
    void fail(target_failure failure);
    void end();
    void note_keep_alive(const message_head& head);
    /// Whether more bytes came that are no part of the answer than any sound target sends.
    bool too_much_overhead() const;

    target_connection_owner& owner_;
    const clock& time_;
    message_parser parser_;
    std::shared_ptr<target_events> events_;
    steady_time idle_since_{};
    duration idle_limit_{};
    std::size_t delivered_ = 0; ///< Bytes of the body in progress.
    std::size_t overhead_ = 0;  ///< Other bytes that were read in this exchange.
    bool head_request_ = false;
    bool connecting_ = false;
    bool skipping_ = false; ///< The response in progress belongs to an earlier request.
    bool reusable_ = true;
    bool ended_ = false;
};

} // namespace wagtailhatch
