#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

namespace wagtailhatch {

/// Buffered, non-blocking TCP stream; base class of every connection on the request path. Reads into a buffer
/// shared by all connections of the thread, so that an idle connection holds no buffer, and writes as much as
/// the socket accepts immediately. Single-threaded.
class byte_stream : public std::enable_shared_from_this<byte_stream> {
public:
    virtual ~byte_stream() = default;
    byte_stream(const byte_stream&) = delete;
    byte_stream& operator=(const byte_stream&) = delete;

    /// Queues bytes and writes as much as the socket accepts immediately.
    void send(std::string bytes);

    /// Pauses and resumes reading. While reading is paused, only check_peer_while_paused() detects that the
    /// peer has closed the connection.
    void pause_reading();
    void resume_reading();

    /// Closes immediately, also before the connection is established, without calling on_closed().
    void close();

    bool is_open() const { return open_; }
    std::size_t unsent() const { return unsent_; }

    /// Bytes written to the socket since the start, also after the end of the connection.
    std::uint64_t written() const { return written_; }

protected:
    explicit byte_stream(asio::ip::tcp::socket socket);

    /// Starts reading. The socket must be connected.
    void start_reading();

    /// Detects that the peer has closed the connection while reading is paused, even if unread bytes precede
    /// the end of the stream, and reports it as a failure. Costs one system call.
    void check_peer_while_paused();

    /// Shuts down the sending side once everything is written. Reading continues.
    void finish_sending();

    /// From now on, an end of the connection resets it unless finish_sending() is done before: the peer must
    /// not take what it has got for complete. Holds also if the process ends.
    void reset_unless_finished();

    /// Received bytes; valid only during the call.
    virtual void on_bytes(std::string_view bytes) = 0;

    /// Called after one or more on_bytes(), once all available bytes or the number of reads allowed per
    /// readiness event are read. Not called if the end of the stream was reached.
    virtual void on_read_end() {}

    /// This many queued bytes were written to the socket.
    virtual void on_sent(std::size_t bytes) = 0;

    /// Whether the end of the peer's side counts only once everything queued is written. Until then it is
    /// kept back, and a connection that breaks in the meantime has failed.
    virtual bool end_requires_sending() const { return false; }

    /// The peer closed its side and all its bytes were read (no error), or the connection failed, whichever
    /// operation noticed it first. The stream is already closed.
    virtual void on_closed(const std::error_code& reason) = 0;

    asio::ip::tcp::socket& socket() { return socket_; }

private:
    void wait_readable();
    void read_available();
    void write_available();
    void wait_writable();
    void on_peer_end();
    void set_reset_on_close(bool reset);
    void fail(const std::error_code& reason);

    asio::ip::tcp::socket socket_;
    /// The socket reports a failure only once: after a failed write, reading finds the end of the stream.
    std::error_code write_error_;
    std::list<std::string> queue_; ///< A list allocates nothing while empty, unlike a deque.
    std::size_t front_sent_ = 0;   ///< Bytes of the first queued string already written.
    std::size_t unsent_ = 0;
    std::uint64_t written_ = 0;
    bool open_ = false;
    bool reading_ = false; ///< A wait for readability is pending.
    bool paused_ = false;
    bool writing_ = false; ///< A wait for writability is pending.
    bool finishing_ = false;
    bool resets_ = false;     ///< Closing resets the connection.
    bool peer_ended_ = false; ///< The end of the peer's side is kept back until everything is written.
};

} // namespace wagtailhatch
