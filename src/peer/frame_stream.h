#pragma once

#include "include/core/clock.h"
#include "include/core/result.h"
#include "src/peer/frame.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/ssl/stream.hpp>
#include <asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>

namespace wagtailhatch {

/// Frames over one TLS connection: handshake, reading, and a write queue that writes at once when idle and
/// batches when busy. One thread.
class frame_stream : public std::enable_shared_from_this<frame_stream> {
public:
    frame_stream(asio::io_context& io, asio::ssl::context& tls, asio::ip::tcp::socket socket);
    virtual ~frame_stream() = default;
    frame_stream(const frame_stream&) = delete;
    frame_stream& operator=(const frame_stream&) = delete;

    /// Connects; fails unless authenticated() is called within timeout.
    void dial(const asio::ip::tcp::endpoint& to, duration timeout);

    /// Serves an accepted socket; fails unless authenticated() is called within timeout.
    void serve(duration timeout);

    /// Queues an encoded frame. tag, unless 0, names it for withdraw() and on_written().
    void send(std::string bytes, std::uint64_t tag = 0);

    /// Takes back a frame; false if bytes of it may have been written.
    bool withdraw(std::uint64_t tag);

    /// Closes for writing. Requires write_idle().
    void finish_sending();

    /// Closes and calls on_closed(), once.
    void fail(const error& reason);

    bool closed() const { return closed_; }
    bool finished_sending() const { return finished_sending_; }
    bool write_idle() const { return queue_.empty() && !writing_; }
    std::size_t queued_bytes() const { return queued_bytes_; }

protected:
    /// The TLS handshake proved that the peer has the secret. Returns the first frame to send.
    virtual std::string on_open() = 0;
    virtual void on_frame(frame f) = 0;
    /// The frame with this tag is about to be written.
    virtual void on_writing(std::uint64_t tag) = 0;
    /// The write queue became empty.
    virtual void on_write_idle() = 0;
    virtual void on_closed(const error& reason) = 0;

    /// Ends the handshake timeout and allows frames of full size.
    void authenticated();

    asio::io_context& loop() { return io_; }

private:
    struct queued_frame {
        std::string bytes;
        std::uint64_t tag;
    };

    void start_timeout(duration timeout);
    void configure_socket();
    void handshake(asio::ssl::stream_base::handshake_type type);
    void opened();
    void flush();
    void fill_write_buffer();
    void read();
    void parse();
    void make_room();

    asio::io_context& io_;
    asio::ssl::stream<asio::ip::tcp::socket> stream_;
    asio::steady_timer handshake_timer_;
    std::deque<queued_frame> queue_;
    std::string write_buffer_;
    std::string read_buffer_;
    std::size_t read_begin_ = 0;
    std::size_t read_end_ = 0;
    std::size_t queued_bytes_ = 0;
    std::size_t frame_limit_;
    bool open_ = false;
    bool writing_ = false;
    bool finished_sending_ = false;
    bool closed_ = false;
};

} // namespace wagtailhatch
