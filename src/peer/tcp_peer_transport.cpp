#include "include/peer/make_peer_transport.h"
#include "src/peer/endpoint.h"
#include "src/peer/proof.h"
#include "src/peer/transport_core.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <utility>

namespace wagtailhatch {
namespace {

using asio::ip::tcp;

class tcp_peer_transport final : public peer_transport {
public:
    explicit tcp_peer_transport(std::shared_ptr<transport_core> core)
        : core_{std::move(core)}
    {
    }
    ~tcp_peer_transport() override { core_->stop(); }
    tcp_peer_transport(const tcp_peer_transport&) = delete;
    tcp_peer_transport& operator=(const tcp_peer_transport&) = delete;

    request_id request(const peer_address& to, channel c, std::string payload, duration timeout,
                       completion done) override
    {
        return core_->request(to, c, payload, timeout, std::move(done));
    }
    void cancel(request_id id) override { core_->cancel(id); }
    void set_handler(channel c, handler h) override { core_->set_handler(c, std::move(h)); }
    void on_peer_lost(std::function<void(const peer_address&)> callback) override
    {
        core_->on_peer_lost(std::move(callback));
    }
    peer_address local_address() const override { return core_->local_address(); }
    void shutdown(std::function<void()> done) override { core_->shutdown(std::move(done)); }

private:
    std::shared_ptr<transport_core> core_;
};

result<tcp::acceptor> listen(asio::io_context& io, const tcp::endpoint& endpoint)
{
    std::error_code failure;
    tcp::acceptor acceptor{io};
    acceptor.open(endpoint.protocol(), failure);
    if (!failure) {
        acceptor.set_option(tcp::acceptor::reuse_address{true}, failure);
    }
    if (!failure) {
        acceptor.bind(endpoint, failure);
    }
    if (!failure) {
        acceptor.listen(tcp::acceptor::max_listen_connections, failure);
    }
    if (failure) {
        return make_error(errc::unavailable, "peer listener " + endpoint.address().to_string() + ":" +
                                                 std::to_string(endpoint.port()) + ": " + failure.message());
    }
    return acceptor;
}

} // namespace

result<std::unique_ptr<peer_transport>> make_peer_transport(asio::io_context& io, const clock& time,
                                                            const peer_options& options)
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
    auto acceptor = listen(io, {ip, options.port});
    if (!acceptor) {
        return acceptor.failure();
    }
    const auto port = acceptor->local_endpoint(failure).port();
    const auto local = advertised_peer_address(options.advertised_address, ip, port);
    if (!local) {
        return make_error(errc::invalid_argument, "peer advertised address " + options.advertised_address);
    }
    auto core = std::make_shared<transport_core>(io, time, options, std::move(*acceptor), *local);
    core->start();
    return std::unique_ptr<peer_transport>{std::make_unique<tcp_peer_transport>(std::move(core))};
}

} // namespace wagtailhatch
