#include "tests/soak/loopback_proxy.h"

#include "src/core/socket_address.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <stdexcept>

namespace wagtailhatch::testing {
namespace {

constexpr std::chrono::milliseconds piece_delay{150};

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
            self->pump(self->client, self->server, self->up_, proxy_mode::mute_up);
            self->pump(self->server, self->client, self->down_, proxy_mode::mute_down);
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

    void pump(asio::ip::tcp::socket& from, asio::ip::tcp::socket& to, buffer& bytes, proxy_mode muted)
    {
        from.async_read_some(asio::buffer(bytes), [this, self = shared_from_this(), &from, &to, &bytes,
                                                   muted](const std::error_code& ec, std::size_t n) {
            if (ec) {
                finish(to);
                return;
            }
            const auto mode = owner.mode_.load();
            if (mode == muted || mode == proxy_mode::mute_both) {
                pump(from, to, bytes, muted);
                return;
            }
            if (mode != proxy_mode::delay) {
                pass_on(from, to, bytes, n, muted);
                return;
            }
            const auto timer = std::make_shared<asio::steady_timer>(owner.io_, piece_delay);
            timer->async_wait([this, self, timer, &from, &to, &bytes, n, muted](const std::error_code&) {
                pass_on(from, to, bytes, n, muted);
            });
        });
    }

    void pass_on(asio::ip::tcp::socket& from, asio::ip::tcp::socket& to, buffer& bytes, std::size_t n,
                 proxy_mode muted)
    {
        asio::async_write(to, asio::buffer(bytes.data(), n),
                          [this, self = shared_from_this(), &from, &to, &bytes,
                           muted](const std::error_code& ec, std::size_t) {
                              if (ec) {
                                  end();
                                  return;
                              }
                              pump(from, to, bytes, muted);
                          });
    }

    // Propagates the end of one direction; the connection ends when both directions have ended.
    void finish(asio::ip::tcp::socket& to)
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
