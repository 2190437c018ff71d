#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <cstddef>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

namespace wagtailhatch {

/// A TCP connection that reads into a buffer shared by all connections of its thread, so that an idle
/// connection holds no memory, and writes at once what the socket takes. Base of every connection on the
/// traffic path. One thread.
class byte_stream : public std::enable_shared_from_this<byte_stream> {
public:
    virtual ~byte_stream() = default;
    byte_stream(const byte_stream&) = delete;
    byte_stream& operator=(const byte_stream&) = delete;

    /// Queues bytes and writes as much as the socket takes now.
    void send(std::string bytes);

    /// Stops and resumes reading. While it is stopped only check_peer_while_paused() notices the end of the
    /// connection.
    void pause_reading();
    void resume_reading();

    /// Closes at once. on_closed() is not called.
    void close();

    bool is_open() const { return open_; }
    std::size_t unsent() const { return unsent_; }

protected:
    explicit byte_stream(asio::ip::tcp::socket socket);

    /// Starts reading; the socket is connected.
    void start_reading();

    /// Notices the end of the connection while reading is paused, also behind unread bytes. Costs a system
    /// call.
    void check_peer_while_paused();

    /// Ends the sending side once everything is written; reading goes on.
    void finish_sending();

    /// Bytes that came in; valid during the call.
    virtual void on_bytes(std::string_view bytes) = 0;

    /// Follows one or more on_bytes() once all that has arrived is read, or this turn's share of it. Not
    /// called if the end of the connection was among it.
    virtual void on_read_end() {}

    /// Bytes left the queue for the socket.
    virtual void on_sent(std::size_t bytes) = 0;

    /// The peer ended its side (no error) or the connection failed. The stream is closed afterwards.
    virtual void on_closed(const std::error_code& reason) = 0;

    asio::ip::tcp::socket& socket() { return socket_; }

private:
    void wait_readable();
    void read_available();
    void write_available();
    void wait_writable();
    void fail(const std::error_code& reason);

    asio::ip::tcp::socket socket_;
    std::list<std::string> queue_; ///< Holds no memory while it is empty, unlike a deque.
    std::size_t front_sent_ = 0;   ///< Bytes of the first queued string that are written.
    std::size_t unsent_ = 0;
    bool open_ = false;
    bool reading_ = false; ///< A wait for readability is pending.
    bool paused_ = false;
    bool writing_ = false; ///< A wait for writability is pending.
    bool finishing_ = false;
};

} // namespace wagtailhatch
