#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace wagtailhatch::test {

/// What a server does once it has sent its answer.
enum class answer_end {
    reset,          ///< Resets the connection.
    close,          ///< Closes it, which resets it if bytes of the request are unread.
    end_then_reset, ///< Ends its sending side and resets the connection after the same delay again.
    end,            ///< Ends its sending side and reads on.
};

/// One answer of an early_server.
struct early_answer {
    std::string bytes;
    answer_end end = answer_end::reset;
    std::chrono::milliseconds delay{}; ///< Between the answer and its end.
    std::size_t read_size = 0; ///< Bytes of the request that are read before the answer, beside its head.
};

/// Server that answers a request before it has read the whole of it. Single-threaded.
class early_server {
public:
    using script = std::function<early_answer(const std::string& request_begin)>;

    early_server(asio::io_context& io, const asio::ip::tcp::endpoint& address, script s)
        : acceptor_{io, address}
        , script_{std::move(s)}
    {
        accept();
    }
    asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }
    std::size_t answered() const { return answered_; }

private:
    static constexpr std::size_t max_head = 1024;

    struct connection {
        explicit connection(asio::ip::tcp::socket s)
            : socket{std::move(s)}
            , timer{socket.get_executor()}
        {
        }
        asio::ip::tcp::socket socket;
        asio::steady_timer timer;
        std::string received; ///< The head, and what came with it.
        early_answer answer;
        std::array<char, 65536> buffer{};
    };
    using connection_pointer = std::shared_ptr<connection>;

    void accept()
    {
        acceptor_.async_accept([this](std::error_code ec, asio::ip::tcp::socket socket) {
            if (ec) {
                return;
            }
            connections_.push_back(std::make_shared<connection>(std::move(socket)));
            read_head(connections_.back());
            accept();
        });
    }

    void read_head(const connection_pointer& c)
    {
        c->socket.async_read_some(asio::buffer(c->buffer, max_head),
                                  [this, c](std::error_code ec, std::size_t n) {
                                      if (ec) {
                                          return;
                                      }
                                      c->received.append(c->buffer.data(), n);
                                      if (c->received.find("\r\n\r\n") == std::string::npos) {
                                          read_head(c);
                                          return;
                                      }
                                      c->answer = script_(c->received);
                                      read_body(c, c->received.size());
                                  });
    }

    void read_body(const connection_pointer& c, std::size_t received)
    {
        if (received >= c->answer.read_size) {
            std::error_code ignored;
            asio::write(c->socket, asio::buffer(c->answer.bytes), ignored);
            ++answered_;
            end_answer(c);
            return;
        }
        c->socket.async_read_some(asio::buffer(c->buffer, c->answer.read_size - received),
                                  [this, c, received](std::error_code ec, std::size_t n) {
                                      if (!ec) {
                                          read_body(c, received + n);
                                      }
                                  });
    }

    void end_answer(const connection_pointer& c)
    {
        after(c, [this, c] {
            std::error_code ignored;
            switch (c->answer.end) {
            case answer_end::reset:
                reset(*c);
                return;
            case answer_end::close:
                c->socket.close(ignored);
                return;
            case answer_end::end_then_reset:
                c->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
                after(c, [c] { reset(*c); });
                return;
            case answer_end::end:
                c->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
                read_rest(c);
                return;
            }
        });
    }

    static void after(const connection_pointer& c, std::function<void()> step)
    {
        if (c->answer.delay == std::chrono::milliseconds{}) {
            step();
            return;
        }
        c->timer.expires_after(c->answer.delay);
        c->timer.async_wait([step = std::move(step)](std::error_code ec) {
            if (!ec) {
                step();
            }
        });
    }

    static void reset(connection& c)
    {
        std::error_code ignored;
        c.socket.set_option(asio::socket_base::linger{true, 0}, ignored);
        c.socket.close(ignored);
    }

    void read_rest(const connection_pointer& c)
    {
        c->socket.async_read_some(asio::buffer(c->buffer), [this, c](std::error_code ec, std::size_t) {
            if (!ec) {
                read_rest(c);
            }
        });
    }

    asio::ip::tcp::acceptor acceptor_;
    script script_;
    std::vector<connection_pointer> connections_;
    std::size_t answered_ = 0;
};

} // namespace wagtailhatch::test
