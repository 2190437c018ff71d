#include "src/peer/peer_connection.h"

#include "src/peer/endpoint.h"
#include "src/peer/inbound_request.h"

#include <asio/post.hpp>

#include <utility>
#include <vector>

namespace wagtailhatch {
namespace {

constexpr std::uint8_t protocol_version = 1;
constexpr int max_unanswered_pings = 3;
constexpr auto last_errc = static_cast<std::uint8_t>(errc::lost_history);

peer_reply failed(errc reason, std::string detail, delivery sent)
{
    return {false, {}, {make_error(reason, std::move(detail)), sent}};
}

} // namespace

peer_connection::peer_connection(asio::io_context& io, asio::ssl::context& tls, asio::ip::tcp::socket socket,
                                 owner& o, const clock& time, peer_identity self, peer_address peer)
    : frame_stream{io, tls, std::move(socket)}
    , owner_{&o}
    , time_{time}
    , self_{std::move(self)}
    , peer_{std::move(peer)}
    , last_use_{time.now()}
    , dialed_{!peer_.empty()}
{
}

std::shared_ptr<peer_connection> peer_connection::self()
{
    return std::static_pointer_cast<peer_connection>(shared_from_this());
}

std::string peer_connection::on_open()
{
    return encode_frame(frame_type::hello, protocol_version, self_.process, self_.address);
}

void peer_connection::request(request_id id, channel c, const std::string& payload, duration timeout,
                              peer_transport::completion done)
{
    auto timer = std::make_unique<asio::steady_timer>(loop(), timeout);
    timer->async_wait([weak = weak_from_this(), id](const std::error_code& failure) {
        const auto stream = weak.lock();
        if (!failure && stream) {
            std::static_pointer_cast<peer_connection>(stream)->expire(id, errc::timeout, false);
        }
    });
    last_use_ = time_.now();
    outgoing_.emplace(id, outgoing{std::move(done), std::move(timer)});
    send(encode_frame(frame_type::request, static_cast<std::uint8_t>(c), id, payload), id);
}

void peer_connection::cancel(request_id id)
{
    expire(id, errc::cancelled, true);
}

void peer_connection::expire(request_id id, errc reason, bool later)
{
    const auto found = outgoing_.find(id);
    if (found == outgoing_.end()) {
        return;
    }
    const bool unsent = !found->second.written;
    if (unsent) {
        withdraw(id);
    }
    else {
        send(encode_frame(frame_type::cancel, 0, id));
    }
    auto reply = failed(reason, peer_, unsent ? delivery::not_sent : delivery::maybe_sent);
    if (!later) {
        finish(id, std::move(reply));
        return;
    }
    auto done = std::move(found->second.done);
    outgoing_.erase(found);
    owner_->request_finished(id);
    asio::post(loop(), [keep = self(), done = std::move(done), reply = std::move(reply)]() mutable {
        if (keep->owner_ != nullptr) {
            done(std::move(reply));
        }
    });
    close_if_done();
}

void peer_connection::finish(request_id id, peer_reply reply)
{
    const auto found = outgoing_.find(id);
    if (found == outgoing_.end()) {
        return; // The answer crossed a cancel or a timeout.
    }
    const auto keep = self();
    auto done = std::move(found->second.done);
    outgoing_.erase(found);
    last_use_ = time_.now();
    owner_->request_finished(id);
    done(std::move(reply));
    close_if_done();
}

void peer_connection::respond(std::uint64_t id, const std::string& payload)
{
    if (payload.size() > max_frame_payload) {
        refuse(id, errc::too_large);
        return;
    }
    if (inbound_.erase(id) > 0) {
        send(encode_frame(frame_type::answer, 0, id, payload));
        close_if_done();
    }
}

void peer_connection::refuse(std::uint64_t id, errc reason)
{
    if (inbound_.erase(id) > 0) {
        send(encode_frame(frame_type::failure, static_cast<std::uint8_t>(reason), id));
        close_if_done();
    }
}

void peer_connection::on_writing(std::uint64_t tag)
{
    const auto found = outgoing_.find(tag);
    if (found != outgoing_.end()) {
        found->second.written = true;
    }
}

void peer_connection::on_frame(frame f)
{
    if (ready_ == (f.type == frame_type::hello)) {
        fail(make_error(errc::malformed, "unexpected frame"));
        return;
    }
    switch (f.type) {
    case frame_type::hello:
        receive_hello(f);
        break;
    case frame_type::request:
        receive_request(std::move(f));
        break;
    case frame_type::answer:
        finish(f.id, {true, std::move(f.payload), {}});
        break;
    case frame_type::failure: {
        const auto reason =
            f.code <= last_errc && f.code != 0 ? static_cast<errc>(f.code) : errc::unavailable;
        finish(f.id, failed(reason, peer_, delivery::maybe_sent));
        break;
    }
    case frame_type::cancel:
        receive_cancel(f.id);
        break;
    case frame_type::ping:
        send(encode_frame(frame_type::pong, 0, f.id));
        break;
    case frame_type::pong:
        unanswered_pings_ = 0;
        break;
    case frame_type::go_away:
        peer_going_away_ = true;
        go_away();
        break;
    }
}

void peer_connection::receive_hello(const frame& f)
{
    if (f.code != protocol_version || !parse_peer_address(f.payload)) {
        fail(make_error(errc::malformed, "hello"));
        return;
    }
    if (!dialed_) {
        peer_ = f.payload;
    }
    peer_process_ = f.id;
    ready_ = true;
    authenticated();
    owner_->connection_ready(self());
}

void peer_connection::receive_request(frame f)
{
    if (f.code > static_cast<std::uint8_t>(channel::group) || inbound_.contains(f.id)) {
        fail(make_error(errc::malformed, "request"));
        return;
    }
    last_use_ = time_.now();
    auto request = std::make_shared<inbound_request>(self(), f.id, std::move(f.payload), peer_);
    inbound_.emplace(f.id, request);
    owner_->request_received(static_cast<channel>(f.code), std::move(request));
}

void peer_connection::receive_cancel(std::uint64_t id)
{
    const auto found = inbound_.find(id);
    if (found == inbound_.end()) {
        return;
    }
    const auto request = found->second.lock();
    inbound_.erase(found);
    if (request) {
        request->cancelled();
    }
    close_if_done();
}

void peer_connection::go_away()
{
    if (!going_away_ && !closed()) {
        going_away_ = true;
        send(encode_frame(frame_type::go_away, 0, 0));
    }
    close_if_done();
}

void peer_connection::close_if_done()
{
    // With both announcements exchanged, no request can be on its way.
    if (going_away_ && peer_going_away_ && !closed() && !finished_sending() && idle()) {
        finish_sending();
    }
}

void peer_connection::tick(duration idle_timeout)
{
    if (!ready_ || closed()) {
        return;
    }
    if (finished_sending()) {
        fail(make_error(errc::shutting_down, peer_));
        return;
    }
    // Counted in ticks, so that a pause of this process does not end connections whose pongs wait unread.
    if (unanswered_pings_ >= max_unanswered_pings) {
        fail(make_error(errc::connection_lost, "no answer to pings from " + peer_));
        return;
    }
    ++unanswered_pings_;
    send(encode_frame(frame_type::ping, 0, 0));
    if (usable() && outgoing_.empty() && inbound_.empty() && time_.now() - last_use_ > idle_timeout) {
        go_away();
    }
}

void peer_connection::on_closed(const error& reason)
{
    if (owner_ == nullptr) {
        return;
    }
    const auto keep = self();
    auto lost_requests = std::exchange(outgoing_, {});
    auto lost_inbound = std::exchange(inbound_, {});
    for (const auto& [id, request] : lost_requests) {
        owner_->request_finished(id);
    }
    const bool planned = going_away_ && peer_going_away_ && lost_requests.empty();
    owner_->connection_closed(keep, planned);
    asio::post(loop(), [keep, reason, requests = std::move(lost_requests),
                        inbound = std::move(lost_inbound)]() mutable {
        for (auto& [id, request] : requests) {
            if (keep->owner_ != nullptr) {
                request.done(
                    {false, {}, {reason, request.written ? delivery::maybe_sent : delivery::not_sent}});
            }
        }
        for (auto& [id, weak] : inbound) {
            const auto request = weak.lock();
            if (request && keep->owner_ != nullptr) {
                request->cancelled();
            }
        }
    });
}

void peer_connection::detach()
{
    owner_ = nullptr;
    outgoing_.clear();
    inbound_.clear();
    fail(make_error(errc::shutting_down, peer_));
}

} // namespace wagtailhatch
