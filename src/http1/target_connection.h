#pragma once

#include "include/core/clock.h"
#include "src/http1/byte_stream.h"
#include "src/http1/message_parser.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailhatch {

/// How an exchange with a target failed.
enum class target_failure : std::uint8_t {
    not_connected,      ///< No byte of the request was sent.
    refused,            ///< As not_connected: nothing listens on the target's address.
    no_response,        ///< The connection ended before a response started.
    truncated,          ///< The response was truncated.
    malformed_response, ///< The bytes are not a response to this request.
};

/// Receives the response of a target. Single-threaded; never called from within
/// target_connection::exchange().
class target_events {
public:
    virtual ~target_events() = default;

    /// Whether the response belongs to the request in progress. False for a late response to an earlier
    /// request, which is then skipped. reused: the connection has carried earlier requests.
    virtual bool accepts(const message_head& head, bool reused) = 0;
    virtual void on_response_head(message_head head) = 0;
    virtual void on_response_data(std::string_view bytes) = 0;
    virtual void on_response_end() = 0;
    virtual void on_target_failure(target_failure failure) = 0;
};

/// A serialized request to the target.
struct target_request {
    std::string bytes;      ///< Head and body, or the head alone if `body` holds the body.
    bool head_only = false; ///< A HEAD request: the response has no body.
    bool repeatable = true; ///< If false, only very recently used connections are reused.
    std::string body{};     ///< Kept apart from the head, so that a large body is not copied.
    /// Equal for all attempts of one request, whose responses cannot be told apart.
    std::uint64_t key = 0;
};

class target_connection;

/// Notified when a connection becomes idle or closes. on_end() is the last notification.
class target_connection_owner {
public:
    virtual ~target_connection_owner() = default;
    virtual void on_idle(target_connection& connection) = 0;
    virtual void on_end(target_connection& connection) = 0;
};

/// Client side of one HTTP/1.1 connection to the target, with one request at a time. Unsolicited bytes close
/// it. Its owner holds it until on_end(); while it runs a callback of its events, it holds itself. Events may
/// end it by cancel() within any of their callbacks: nothing of what was received is passed on after that.
class target_connection final : public byte_stream, private message_events {
public:
    target_connection(asio::ip::tcp::socket socket, target_connection_owner& owner, const clock& time);

    /// Connects, then sends the request.
    void connect(const asio::ip::tcp::endpoint& to, target_request request,
                 std::shared_ptr<target_events> events);

    /// Sends a request on an idle connection.
    void exchange(target_request request, std::shared_ptr<target_events> events);

    /// Fails the exchange in progress if the target's host no longer acknowledges anything. Call several
    /// times per second.
    void check();

    /// Closes the connection, so that the target can stop work on the request. No event follows.
    void cancel();

    bool idle() const { return is_open() && !events_ && reusable_; }

    /// Whether an attempt of the request with this key may be sent: false if the connection carried an
    /// earlier one that did not succeed, because a late copy of that response would be taken for the answer.
    bool may_carry(std::uint64_t key) const;
    steady_time idle_since() const { return idle_since_; }

    /// How long the connection may stay idle and still be reused, from the target's `Keep-Alive` header if
    /// sent.
    duration idle_limit() const { return idle_limit_; }

private:
    void on_bytes(std::string_view bytes) override;
    void on_sent(std::size_t) override {}
    bool end_requires_sending() const override;
    void on_closed(const std::error_code& reason) override;
    void on_head(message_head head) override;
    void on_body(std::string_view bytes) override;

    void response_complete(bool surplus);
    void fail(target_failure failure);
    void end();
    void apply_keep_alive_timeout(const message_head& head);
    void record_unsuccessful();
    /// Whether more bytes outside the response body arrived than any correct target sends.
    bool exceeds_overhead_limit() const;

    target_connection_owner& owner_;
    const clock& time_;
    message_parser parser_;
    std::shared_ptr<target_events> events_;
    steady_time idle_since_{};
    duration idle_limit_{};
    std::uint64_t key_ = 0;                   ///< Of the exchange in progress.
    std::vector<std::uint64_t> unsuccessful_; ///< Keys of earlier exchanges that ended without success.
    std::size_t delivered_ = 0;               ///< Body bytes passed on in this exchange.
    std::size_t overhead_ = 0;                ///< Other bytes read in this exchange.
    bool head_request_ = false;
    bool connecting_ = false;
    bool skipping_ = false; ///< The response being read belongs to an earlier request.
    bool reusable_ = true;
    bool reused_ = false; ///< A request before the one in progress was sent on this connection.
    bool ended_ = false;
};

} // namespace wagtailhatch
