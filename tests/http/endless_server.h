#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include <array>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>

namespace wagtailhatch::test {

/// Faulty server that replies to the first bytes of each connection with `begin`, then repeats `filler` until
/// the connection ends.
class endless_server {
public:
    endless_server(asio::io_context& io, std::string begin, const std::string& filler)
        : acceptor_{io, {asio::ip::address_v4::loopback(), 0}}
        , begin_{std::move(begin)}
    {
        constexpr std::size_t piece = std::size_t{16} << 10;
        while (filler_.size() < piece) {
            filler_ += filler;
        }
        accept();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }
    std::size_t requests() const { return requests_; }
    std::size_t sent() const { return sent_; }   ///< Bytes, over all connections.
    std::size_t ended() const { return ended_; } ///< Connections closed by the peer.

private:
    using socket_ptr = std::shared_ptr<asio::ip::tcp::socket>;

    void accept()
    {
        acceptor_.async_accept([this](std::error_code ec, asio::ip::tcp::socket socket) {
            if (ec) {
                return;
            }
            const auto s = std::make_shared<asio::ip::tcp::socket>(std::move(socket));
            s->async_read_some(asio::buffer(buffer_), [this, s](std::error_code failed, std::size_t) {
                if (!failed) {
                    ++requests_;
                    write(s, begin_);
                }
            });
            accept();
        });
    }

    void write(const socket_ptr& s, const std::string& bytes)
    {
        asio::async_write(*s, asio::buffer(bytes), [this, s](std::error_code ec, std::size_t n) {
            sent_ += n;
            if (ec) {
                ++ended_;
                return;
            }
            write(s, filler_);
        });
    }

    asio::ip::tcp::acceptor acceptor_;
    std::string begin_;
    std::string filler_;
    std::array<char, 4096> buffer_{};
    std::size_t requests_ = 0;
    std::size_t sent_ = 0;
    std::size_t ended_ = 0;
};

} // namespace wagtailhatch::test
