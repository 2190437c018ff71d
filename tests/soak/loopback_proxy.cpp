#include "tests/soak/loopback_proxy.h"

#include "src/core/socket_address.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <stdexcept>

namespace wagtailhatch::testing {
namespace {

constexpr std::chrono::milliseconds chunk_delay{150};

void reset(asio::ip::tcp::socket& socket)
{
    std::error_code ignored;
    socket.set_option(asio::socket_base::linger{true, 0}, ignored);
    socket.close(ignored);
}

} // namespace

struct loopback_proxy::connection : std::enable_shared_from_this<connection> {
    connection(loopback_proxy& proxy, asio::ip::tcp::socket accepted)
        : owner{proxy}
        , client{std::move(accepted)}
        , server{proxy.io_}
    {
    }

    void start()
    {
        server.async_connect(owner.target_, [self = shared_from_this()](const std::error_code& ec) {
            if (ec) {
                self->end();
                return;
            }
            self->relay(self->client, self->server, self->up_, proxy_mode::drop_upstream);
            self->relay(self->server, self->client, self->down_, proxy_mode::drop_downstream);
        });
    }

    void end()
    {
        reset(client);
        reset(server);
        owner.connections_.erase(shared_from_this());
    }

private:
    using buffer = std::array<char, 16384>;

    void relay(asio::ip::tcp::socket& from, asio::ip::tcp::socket& to, buffer& bytes,
               proxy_mode dropping_mode)
    {
        from.async_read_some(asio::buffer(bytes), [this, self = shared_from_this(), &from, &to, &bytes,
                                                   dropping_mode](const std::error_code& ec, std::size_t n) {
            if (ec) {
                half_close(to);
                return;
            }
            const auto mode = owner.mode_.load();
            if (mode == dropping_mode || mode == proxy_mode::drop_both) {
                relay(from, to, bytes, dropping_mode);
                return;
            }
            if (mode != proxy_mode::delay) {
                forward_chunk(from, to, bytes, n, dropping_mode);
                return;
            }
            const auto timer = std::make_shared<asio::steady_timer>(owner.io_, chunk_delay);
            timer->async_wait(
                [this, self, timer, &from, &to, &bytes, n, dropping_mode](const std::error_code&) {
                    forward_chunk(from, to, bytes, n, dropping_mode);
                });
        });
    }

    void forward_chunk(asio::ip::tcp::socket& from, asio::ip::tcp::socket& to, buffer& bytes, std::size_t n,
                       proxy_mode dropping_mode)
    {
        asio::async_write(to, asio::buffer(bytes.data(), n),
                          [this, self = shared_from_this(), &from, &to, &bytes,
                           dropping_mode](const std::error_code& ec, std::size_t) {
                              if (ec) {
                                  end();
                                  return;
                              }
                              relay(from, to, bytes, dropping_mode);
                          });
    }

    // Propagates the end of one direction; the connection ends when both directions have ended.
    void half_close(asio::ip::tcp::socket& to)
    {
        std::error_code ignored;
        to.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        if (++finished_ == 2 || ignored) {
            end();
        }
    }

public:
    loopback_proxy& owner;
    asio::ip::tcp::socket client;
    asio::ip::tcp::socket server;

private:
    buffer up_{};
    buffer down_{};
    int finished_ = 0;
};

loopback_proxy::loopback_proxy(const std::string& target)
    : work_{io_.get_executor()}
    , target_{parse_address(target).value()}
    , acceptor_{io_, asio::ip::tcp::endpoint{asio::ip::address_v4::loopback(), 0}}
    , address_{format_address(acceptor_.local_endpoint())}
{
    accept();
    thread_ = std::thread{[this] { io_.run(); }};
}

loopback_proxy::~loopback_proxy()
{
    io_.stop();
    thread_.join();
}

void loopback_proxy::reset_connections()
{
    asio::post(io_, [this] {
        const auto copy = connections_;
        for (const auto& c : copy) {
            c->end();
        }
    });
}

void loopback_proxy::accept()
{
    acceptor_.async_accept([this](const std::error_code& ec, asio::ip::tcp::socket socket) {
        if (!ec && mode_ == proxy_mode::refuse) {
            reset(socket);
        }
        else if (!ec) {
            const auto c = std::make_shared<connection>(*this, std::move(socket));
            connections_.insert(c);
            c->start();
        }
        accept();
    });
}

} // namespace wagtailhatch::testing
