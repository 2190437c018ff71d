#include "include/peer/make_datagram_transport.h"
#include "src/peer/datagram.h"
#include "src/peer/endpoint.h"
#include "src/peer/proof.h"
#include "src/peer/replay_window.h"

#include <asio/buffer.hpp>
#include <asio/error.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>

#include <array>
#include <cassert>
#include <utility>

namespace wagtailhatch {
namespace {

using asio::ip::udp;

/// State of the transport; outlives it while a receive is pending.
class udp_core final : public std::enable_shared_from_this<udp_core> {
public:
    udp_core(udp::socket socket, const clock& time, const datagram_options& options, peer_address local)
        : socket_{std::move(socket)}
        , window_{time, options.max_senders}
        , key_{derive_key(options.secret, "wagtailhatch peer udp 1")}
        , incarnation_{options.incarnation}
        , local_{std::move(local)}
    {
    }

    void send(const peer_address& to, std::string payload)
    {
        assert(payload.size() <= max_datagram_payload);
        const auto target = parse_peer_address(to);
        if (!target || payload.size() > max_datagram_payload || !socket_.is_open()) {
            return;
        }
        const auto bytes = encode_datagram({incarnation_, ++sequence_, local_, std::move(payload)}, to, key_);
        std::error_code ignored; // Datagrams may be lost.
        socket_.send_to(asio::buffer(bytes), {target->first, target->second}, 0, ignored);
    }

    void receive()
    {
        socket_.async_receive_from(
            asio::buffer(buffer_), sender_,
            [core = shared_from_this()](const std::error_code& failure, std::size_t size) {
                if (!core->socket_.is_open()) {
                    return;
                }
                if (!failure) {
                    core->take({core->buffer_.data(), size});
                }
                if (core->socket_.is_open()) {
                    core->receive();
                }
            });
    }

    void set_handler(std::function<void(const peer_address&, const std::string&)> h)
    {
        handler_ = std::move(h);
    }
    const peer_address& local() const { return local_; }

    void close()
    {
        std::error_code ignored;
        socket_.close(ignored);
        handler_ = nullptr;
    }

private:
    void take(std::string_view bytes)
    {
        const auto d = decode_datagram(bytes, local_, key_);
        if (d && window_.accept(d->from, d->incarnation, d->sequence) && handler_) {
            const auto handler = handler_; // The handler may close the transport.
            handler(d->from, d->payload);
        }
    }

    udp::socket socket_;
    udp::endpoint sender_;
    std::array<char, 2048> buffer_{};
    replay_window window_;
    proof key_;
    std::uint64_t incarnation_;
    std::uint64_t sequence_ = 0;
    peer_address local_;
    std::function<void(const peer_address&, const std::string&)> handler_;
};

class udp_transport final : public datagram_transport {
public:
    explicit udp_transport(std::shared_ptr<udp_core> core)
        : core_{std::move(core)}
    {
    }
    ~udp_transport() override { core_->close(); }
    udp_transport(const udp_transport&) = delete;
    udp_transport& operator=(const udp_transport&) = delete;

    void send(const peer_address& to, std::string payload) override { core_->send(to, std::move(payload)); }
    void set_handler(std::function<void(const peer_address&, const std::string&)> h) override
    {
        core_->set_handler(std::move(h));
    }
    peer_address local_address() const override { return core_->local(); }
    void close() override { core_->close(); }

private:
    std::shared_ptr<udp_core> core_;
};

} // namespace

result<std::unique_ptr<datagram_transport>> make_datagram_transport(asio::io_context& io, const clock& time,
                                                                    const datagram_options& options)
{
    std::error_code failure;
    const auto ip = asio::ip::make_address(options.listen_address, failure);
    if (failure) {
        return make_error(errc::invalid_argument, "peer listen address " + options.listen_address);
    }
    if (options.secret.size() < min_secret_size) {
        return make_error(errc::invalid_argument,
                          "peer secret has fewer than " + std::to_string(min_secret_size) + " bytes");
    }
    const udp::endpoint endpoint{ip, options.port};
    udp::socket socket{io};
    socket.open(endpoint.protocol(), failure);
    if (!failure) {
        socket.bind(endpoint, failure);
    }
    if (!failure) {
        socket.non_blocking(true, failure);
    }
    if (failure) {
        return make_error(errc::unavailable, "peer datagram socket " + options.listen_address + ":" +
                                                 std::to_string(options.port) + ": " + failure.message());
    }
    const auto local =
        advertised_peer_address(options.advertised_address, ip, socket.local_endpoint(failure).port());
    if (!local) {
        return make_error(errc::invalid_argument, "peer advertised address " + options.advertised_address);
    }
    auto core = std::make_shared<udp_core>(std::move(socket), time, options, *local);
    core->receive();
    return std::unique_ptr<datagram_transport>{std::make_unique<udp_transport>(std::move(core))};
}

} // namespace wagtailhatch
