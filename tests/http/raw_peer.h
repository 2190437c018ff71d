#pragma once

#include "tests/http/loop_driver.h"

#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>

#include <array>
#include <memory>
#include <string>
#include <vector>

namespace wagtailhatch::test {

/// Scripted server that records the bytes it receives.
class raw_server {
public:
    struct connection {
        asio::ip::tcp::socket socket;
        std::string received;
        std::size_t requests = 0; ///< Request heads received.
    };
    /// Reply to one request head: bytes to send. The connection is then closed if close is set.
    struct action {
        std::string answer;
        bool close = false;
    };
    using script = std::function<action(std::size_t request_index)>;

    raw_server(asio::io_context& io, script s)
        : acceptor_{io, {asio::ip::address_v4::loopback(), 0}}
        , script_{std::move(s)}
    {
        accept();
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }
    std::size_t requests() const { return requests_; }
    std::size_t connections() const { return connections_.size(); }
    std::size_t closed() const { return closed_; }
    const std::string& received(std::size_t i) const { return connections_.at(i)->received; }
    void send(std::size_t i, const std::string& bytes)
    {
        asio::write(connections_.at(i)->socket, asio::buffer(bytes));
    }

private:
    void accept()
    {
        acceptor_.async_accept([this](std::error_code ec, asio::ip::tcp::socket socket) {
            if (ec) {
                return;
            }
            connections_.push_back(std::make_shared<connection>(connection{std::move(socket), {}, 0}));
            read(connections_.back());
            accept();
        });
    }
    void read(const std::shared_ptr<connection>& c)
    {
        c->socket.async_read_some(asio::buffer(buffer_), [this, c](std::error_code ec, std::size_t n) {
            if (ec) {
                closed_ += ec == asio::error::operation_aborted ? 0 : 1;
                return;
            }
            c->received.append(buffer_.data(), n);
            std::size_t seen = 0;
            for (auto at = c->received.find("\r\n\r\n"); at != std::string::npos;
                 at = c->received.find("\r\n\r\n", at + 4)) {
                ++seen;
            }
            for (; c->requests < seen; ++c->requests) {
                const auto next = script_(requests_++);
                std::error_code ignored;
                asio::write(c->socket, asio::buffer(next.answer), ignored);
                if (next.close) {
                    c->socket.close(ignored);
                    return;
                }
            }
            read(c);
        });
    }

    asio::ip::tcp::acceptor acceptor_;
    script script_;
    std::array<char, 65536> buffer_{};
    std::vector<std::shared_ptr<connection>> connections_;
    std::size_t requests_ = 0;
    std::size_t closed_ = 0;
};

/// Client that sends raw bytes and collects the response.
class raw_client {
public:
    raw_client(asio::io_context& io, std::uint16_t port)
        : socket_{io}
    {
        socket_.connect({asio::ip::address_v4::loopback(), port});
        read();
    }
    void send(std::string bytes)
    {
        auto kept = std::make_shared<std::string>(std::move(bytes));
        asio::async_write(socket_, asio::buffer(*kept),
                          [this, kept](std::error_code ec, std::size_t) { failed_ = failed_ || ec; });
    }
    void disconnect()
    {
        std::error_code ignored;
        socket_.close(ignored);
    }
    bool ended() const { return ended_ || failed_; }
    /// Whether the connection has ended with an error.
    bool broken() const { return broken_ || failed_; }
    const std::string& received() const { return received_; }

private:
    void read()
    {
        socket_.async_read_some(asio::buffer(buffer_), [this](std::error_code ec, std::size_t n) {
            if (ec) {
                ended_ = true;
                broken_ = ec != asio::error::eof;
                return;
            }
            received_.append(buffer_.data(), n);
            read();
        });
    }

    asio::ip::tcp::socket socket_;
    std::array<char, 65536> buffer_{};
    std::string received_;
    bool ended_ = false;
    bool broken_ = false;
    bool failed_ = false;
};

} // namespace wagtailhatch::test
