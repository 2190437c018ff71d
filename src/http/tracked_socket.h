#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <cstddef>
#include <functional>
#include <system_error>
#include <utility>

namespace wagtailhatch {

/// Socket type passed to RESTinio, which does not expose its connections. Lets the server close idle
/// connections and find out whether part of a request has arrived.
class tracked_socket : public asio::ip::tcp::socket {
public:
    explicit tracked_socket(asio::io_context& io)
        : asio::ip::tcp::socket{io}
    {
    }
    tracked_socket(const tracked_socket&) = delete;
    tracked_socket(tracked_socket&&) = default;
    tracked_socket& operator=(const tracked_socket&) = delete;
    tracked_socket& operator=(tracked_socket&&) = delete;
    ~tracked_socket()
    {
        if (on_destroyed_) {
            on_destroyed_();
        }
    }

    /// Hides the function of the base class in order to record that bytes arrived.
    template <typename Buffers, typename Handler>
    void async_read_some(const Buffers& buffers, Handler handler)
    {
        // The handler keeps the connection that owns this socket alive.
        asio::ip::tcp::socket::async_read_some(
            buffers, [this, handler = std::move(handler)](const std::error_code& ec, std::size_t n) mutable {
                partial_request_ = partial_request_ || n > 0;
                handler(ec, n);
            });
    }

    bool partial_request() const { return partial_request_; }
    void request_complete() { partial_request_ = false; }

    /// Shuts the socket down. RESTinio then reads the end of the stream, closes the connection and notifies
    /// its state listener. close() would only abort the read, which RESTinio ignores.
    void end_reading(asio::socket_base::shutdown_type direction)
    {
        std::error_code ignored;
        shutdown(direction, ignored);
    }

    /// Sets a callback that runs when the socket is destroyed, which RESTinio does not always report. Objects
    /// owned by the callback live until then; connections rely on that for their listener, because they hold
    /// a raw pointer to its counter.
    void on_destroyed(std::function<void()> callback) { on_destroyed_ = std::move(callback); }

private:
    bool partial_request_ = false;
    std::function<void()> on_destroyed_;
};

/// Socket of the connection that RESTinio is opening on this thread, for the state listener it calls next.
inline thread_local tracked_socket* opening_socket = nullptr;

/// Selected by RESTinio through argument-dependent lookup instead of its overload for other sockets.
template <typename Connection, typename Start, typename Failed>
void prepare_connection_and_start_read(tracked_socket& socket, Connection&, Start start, Failed)
{
    opening_socket = &socket;
    start();
    opening_socket = nullptr;
}

} // namespace wagtailhatch
