#include "src/peer/peer_mesh.h"

#include "include/observe/logging.h"
#include "src/core/socket_address.h"
#include "src/peer/peer_call.h"

#include <asio/post.hpp>

#include <algorithm>
#include <utility>

namespace wagtailhatch {
namespace {

using namespace std::chrono_literals;

constexpr duration tick_interval = 100ms;
constexpr duration min_publish_interval = 400ms;
// Added to the interval for each peer, so that a node's message rate stays bounded.
constexpr duration publish_interval_per_peer = 12ms;
// Publish intervals without any data after which a link is closed.
constexpr int lost_after_intervals = 4;
// Publish intervals without any data after which new calls avoid the peer.
constexpr int suspect_after_intervals = 2;
constexpr duration initial_backoff = 150ms;
constexpr duration max_backoff = 2s;
constexpr duration dial_timeout = 1s;
constexpr duration hello_timeout = 1s;
// accept() usually fails because the process is out of file descriptors; retrying at once would not help.
constexpr duration peer_accept_retry_delay = 100ms;
// Limits the dials per tick, so that a node that starts among many others does not open all links at once.
constexpr int dials_per_tick = 24;

} // namespace

peer_mesh::peer_mesh(asio::io_context& io, const clock& time, random_source& random,
                     asio::ip::tcp::endpoint listen, body_budgets& body_memory, peer_mesh_events& events)
    : io_{io}
    , time_{time}
    , random_{random}
    , listen_{std::move(listen)}
    , self_{format_address(listen_)}
    , body_memory_{body_memory}
    , events_{events}
    , acceptor_{io}
    , accept_timer_{io}
    , tick_timer_{io}
    , publish_timer_{io}
{
}

peer_mesh::~peer_mesh()
{
    stop();
}

result<bool> peer_mesh::start()
{
    if (const auto error = listen_on(acceptor_, listen_)) {
        return make_error(errc::unavailable, "peer listener " + self_ + ": " + error.message());
    }
    accept();
    tick();
    return true;
}

void peer_mesh::stop()
{
    if (std::exchange(stopped_, true)) {
        return;
    }
    std::error_code ignored;
    acceptor_.close(ignored);
    accept_timer_.cancel();
    tick_timer_.cancel();
    publish_timer_.cancel();
    for (const auto& link : std::exchange(all_links_, {})) {
        link->end();
    }
}

void peer_mesh::accept()
{
    acceptor_.async_accept([this](const std::error_code& ec, asio::ip::tcp::socket socket) {
        if (stopped_) {
            return;
        }
        if (!ec) {
            const auto link = std::make_shared<peer_link>(std::move(socket),
                                                          static_cast<peer_link_owner&>(*this), time_, false);
            all_links_.insert(link);
            link->start();
            accept();
            return;
        }
        log(log_level::warning, "peer connection not accepted", {{"error", ec.message()}});
        accept_later();
    });
}

void peer_mesh::accept_later()
{
    accept_timer_.expires_after(peer_accept_retry_delay);
    accept_timer_.async_wait([this](const std::error_code& ec) {
        if (!ec && !stopped_) {
            accept();
        }
    });
}

void peer_mesh::add_peers(const std::vector<peer_address>& addresses)
{
    for (const auto& address : addresses) {
        const auto endpoint = parse_address(address);
        if (address != self_ && endpoint && endpoint->port() != 0) {
            contacts_.try_emplace(address);
        }
    }
    dial_missing(time_.now());
}

void peer_mesh::forget(const peer_address& address)
{
    contacts_.erase(address);
}

bool peer_mesh::suspect(const peer_address& address) const
{
    const auto found = links_.find(address);
    return found != links_.end() && is_overdue(*found->second);
}

std::vector<peer_address> peer_mesh::known() const
{
    std::vector<peer_address> out{self_};
    for (const auto& [address, link] : links_) {
        out.push_back(address);
    }
    return out;
}

void peer_mesh::tick()
{
    const auto now = time_.now();
    dial_missing(now);
    close_unresponsive(now);
    publish_if_due(now);
    tick_timer_.expires_after(tick_interval);
    tick_timer_.async_wait([this](const std::error_code& ec) {
        if (!ec && !stopped_) {
            tick();
        }
    });
}

void peer_mesh::dial_missing(steady_time now)
{
    int budget = dials_per_tick;
    for (auto& [address, c] : contacts_) {
        if (!c.dialling && links_.count(address) == 0 && c.next_dial <= now && budget > 0) {
            dial(address, c);
            --budget;
        }
    }
}

void peer_mesh::dial(const peer_address& address, contact& c)
{
    c.dialling = true;
    c.backoff = std::clamp(c.backoff * 2, initial_backoff, max_backoff);
    const auto jitter =
        duration{static_cast<duration::rep>(random_.unit() * static_cast<double>(c.backoff.count()) / 2)};
    c.next_dial = time_.now() + c.backoff + jitter;
    const auto link = std::make_shared<peer_link>(asio::ip::tcp::socket{io_},
                                                  static_cast<peer_link_owner&>(*this), time_, true);
    link->peer = address;
    all_links_.insert(link);
    link->connect(*parse_address(address));
}

duration peer_mesh::publish_interval() const
{
    return std::max(min_publish_interval, publish_interval_per_peer * static_cast<int>(links_.size()));
}

void peer_mesh::close_unresponsive(steady_time now)
{
    const auto limit = publish_interval() * lost_after_intervals;
    const auto copy = all_links_;
    for (const auto& link : copy) {
        const bool in_use = !link->peer.empty() && links_.count(link->peer) > 0;
        const auto bound = link->is_open() ? (in_use ? limit : std::max(limit, hello_timeout)) : dial_timeout;
        if (now - link->last_received() > bound) {
            link->end();
        }
        else {
            close_redundant(*link);
        }
    }
}

bool peer_mesh::is_overdue(const peer_link& link) const
{
    return time_.now() - link.last_received() > suspect_time();
}

std::vector<contact_state> peer_mesh::contacts() const
{
    std::vector<contact_state> out;
    out.reserve(contacts_.size());
    for (const auto& [address, c] : contacts_) {
        const bool is_linked = linked(address);
        out.push_back({address, is_linked, is_linked && suspect(address), !is_linked && c.refused});
    }
    return out;
}

duration peer_mesh::suspect_time() const
{
    return publish_interval() * suspect_after_intervals;
}

void peer_mesh::close_redundant(peer_link& link)
{
    const auto used = links_.find(link.peer);
    const bool spare = used != links_.end() && used->second.get() != &link && link.dialled();
    // After two publish intervals the peer also knows which link is in use.
    if (spare && link.is_open() && link.calls.empty() && link.incoming.empty() &&
        time_.now() - link.started() > publish_interval() * 2) {
        link.end();
    }
}

void peer_mesh::publish_if_due(steady_time now)
{
    if (now - last_publish_ >= publish_interval()) {
        publish_status();
    }
}

void peer_mesh::publish_status()
{
    last_publish_ = time_.now();
    auto status = events_.own_status();
    const auto eras = events_.own_store_eras();
    const auto payload = encode(status);
    status.misses_receiver = true;
    const auto copy = all_links_;
    for (const auto& link : copy) {
        send_store_eras(*link, eras);
        link->send_frame(frame_type::status, 0, is_overdue(*link) ? encode(status) : payload);
    }
}

void peer_mesh::schedule_publish()
{
    if (std::exchange(publish_scheduled_, true)) {
        return;
    }
    publish_timer_.expires_at(std::max(time_.now(), last_publish_ + min_publish_gap()));
    publish_timer_.async_wait([this](const std::error_code& ec) {
        if (!ec && !stopped_) {
            publish_scheduled_ = false;
            publish_status();
        }
    });
}

duration peer_mesh::min_publish_gap() const
{
    return publish_interval() / 4;
}

void peer_mesh::publish_crash(const crash_report& report)
{
    const auto payload = encode(report);
    for (const auto& [address, link] : links_) {
        link->send_frame(frame_type::crash, 0, payload);
    }
}

void peer_mesh::send_store_contact(const peer_address& to)
{
    if (const auto found = links_.find(to); found != links_.end()) {
        found->second->send_frame(frame_type::store_contact, 0, {});
    }
}

void peer_mesh::request_config(const peer_address& from)
{
    if (const auto found = links_.find(from); found != links_.end()) {
        found->second->send_frame(frame_type::config_request, 0, {});
    }
}

bool peer_mesh::request_rate(const peer_address& allocator, const rate_request& request)
{
    const auto found = links_.find(allocator);
    if (found == links_.end()) {
        return false;
    }
    found->second->send_frame(frame_type::rate_request, 0, encode(request));
    return true;
}

std::shared_ptr<call_handle> peer_mesh::call(const peer_address& to, const service_call& call,
                                             std::shared_ptr<reply_sink> sink)
{
    const auto link = links_.at(to);
    const auto stream = link->next_stream();
    link->send_large_frame(frame_type::call, stream, encode(call, time_.now()));
    link->calls.emplace(stream, outgoing_call_state{std::move(sink), link->written() + link->unsent()});
    return make_outgoing_call(link, stream);
}

std::size_t peer_mesh::calls_in_progress() const
{
    std::size_t sum = 0;
    for (const auto& link : all_links_) {
        sum += link->calls.size() + link->incoming.size();
    }
    return sum;
}

void peer_mesh::on_link_open(peer_link& link)
{
    send_hello(link);
}

void peer_mesh::send_store_eras(peer_link& link, const store_eras& eras)
{
    if (link.is_open() && std::exchange(link.eras_sent, eras) != eras) {
        link.send_frame(frame_type::store_eras, 0, encode(eras));
    }
}

void peer_mesh::send_hello(peer_link& link)
{
    send_store_eras(link, events_.own_store_eras());
    link.send_frame(frame_type::hello, 0, encode(hello_message{events_.own_status(), known()}));
}

void peer_mesh::on_link_end(peer_link& link)
{
    const auto keep = std::static_pointer_cast<peer_link>(link.shared_from_this());
    all_links_.erase(keep);
    if (const auto found = contacts_.find(link.peer); found != contacts_.end()) {
        found->second.dialling = found->second.dialling && !link.dialled();
        found->second.refused = link.refused;
    }
    const auto used = links_.find(link.peer);
    const bool was_used = used != links_.end() && used->second == keep;
    if (was_used) {
        links_.erase(used);
        for (const auto& other : all_links_) {
            if (other->peer == link.peer && other->is_open()) {
                links_.emplace(link.peer, other);
                break;
            }
        }
    }
    auto calls = std::exchange(link.calls, {});
    for (auto& [stream, call] : calls) {
        // The peer cannot have started a call whose frame was never written completely.
        const bool sent = call.frame_end <= link.written();
        call.sink->on_failure({refusal_reason::connection_lost, sent, sent, {}, {}}, {});
    }
    for (const auto& unstarted : std::exchange(link.unstarted, {})) {
        log_unstarted(unstarted);
    }
    auto incoming = std::exchange(link.incoming, {});
    for (auto& [stream, handle] : incoming) {
        handle->cancel();
    }
    if (was_used && links_.count(link.peer) == 0 && !stopped_) {
        log(log_level::warning, "peer lost", {{"peer", link.peer}});
        events_.on_peer_lost(link.peer);
    }
}

void peer_mesh::choose_link(const std::shared_ptr<peer_link>& link)
{
    auto& used = links_[link->peer];
    if (!used || !used->is_open()) {
        used = link;
        return;
    }
    // Tie-break that both sides decide alike: keep the link dialled by the node with the lower address.
    const bool lower_dialled = link->dialled() == (self_ < link->peer);
    if (lower_dialled) {
        used = link;
    }
}

} // namespace wagtailhatch
