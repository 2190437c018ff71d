#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <cstddef>
#include <memory>
#include <system_error>
#include <utility>

namespace wagtailhatch {

/// Socket type given to RESTinio. RESTinio keeps its connections to itself; this type lets the server close
/// idle ones and know whether part of a request has arrived.
class tracked_socket : public asio::ip::tcp::socket {
public:
    explicit tracked_socket(asio::io_context& io)
        : asio::ip::tcp::socket{io}
    {
    }

    /// Hides the base class's function to note that bytes came in.
    template <typename Buffers, typename Handler>
    void async_read_some(const Buffers& buffers, Handler handler)
    {
        // The handler holds the connection that owns this socket.
        asio::ip::tcp::socket::async_read_some(
            buffers, [this, handler = std::move(handler)](const std::error_code& ec, std::size_t n) mutable {
                partial_request_ = partial_request_ || n > 0;
                handler(ec, n);
            });
    }

    bool partial_request() const { return partial_request_; }
    void request_complete() { partial_request_ = false; }

    /// Ends reading. RESTinio sees the end of the stream, closes the connection and tells its listener; a
    /// plain close() would only abort its read, which it ignores.
    void end_reading(asio::socket_base::shutdown_type what)
    {
        std::error_code ignored;
        shutdown(what, ignored);
    }

    /// Keeps the listener alive: connections hold a plain pointer to its connection counter.
    void hold(std::shared_ptr<void> owner) { owner_ = std::move(owner); }

private:
    bool partial_request_ = false;
    std::shared_ptr<void> owner_;
};

/// Socket of the connection that RESTinio is opening on this thread, for the listener that it calls next.
inline thread_local tracked_socket* opening_socket = nullptr;

/// Found by RESTinio through argument-dependent look-up, instead of its function for plain sockets.
template <typename Connection, typename Start, typename Failed>
void prepare_connection_and_start_read(tracked_socket& socket, Connection&, Start start, Failed)
{
    opening_socket = &socket;
    start();
    opening_socket = nullptr;
}

} // namespace wagtailhatch
