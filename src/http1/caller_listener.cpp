#include "src/http1/caller_listener.h"

#include "include/observe/logging.h"
#include "src/core/socket_address.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace wagtailhatch {
namespace {

using namespace std::chrono_literals;

constexpr duration accept_retry_delay = 50ms;
// Accepting counts as recovered after this long without a failure.
constexpr duration accept_recovery_time = 1s;
// Up to one in this many connections is closed at a time to free descriptors, because finding the idle ones
// takes a pass over all connections.
constexpr std::size_t eviction_divisor = 16;
// The first or next request of a more recently used connection may already be in transit.
constexpr duration min_idle_for_eviction = 200ms;

} // namespace

caller_listener::caller_listener(asio::io_context& io, const clock& time, caller_listener_options options,
                                 body_budgets& body_memory, caller_listener_events& events)
    : io_{io}
    , time_{time}
    , options_{std::move(options)}
    , body_memory_{body_memory}
    , events_{events}
    , acceptor_{io}
    , pause_timer_{io}
{
}

caller_listener::~caller_listener()
{
    close();
}

result<bool> caller_listener::start()
{
    if (const auto error = listen_on(acceptor_, options_.address)) {
        return make_error(errc::unavailable, "listener for callers at " + format_address(options_.address) +
                                                 ": " + error.message());
    }
    accept();
    return true;
}

void caller_listener::stop_accepting()
{
    accept_backlog();
    std::error_code ignored;
    acceptor_.close(ignored);
    pause_timer_.cancel();
}

void caller_listener::close()
{
    std::error_code ignored;
    acceptor_.close(ignored);
    pause_timer_.cancel();
    const auto sessions = std::exchange(sessions_, {});
    for (const auto& [raw, session] : sessions) {
        session->end();
    }
}

void caller_listener::accept()
{
    acceptor_.async_accept([this](const std::error_code& ec, asio::ip::tcp::socket socket) {
        if (acceptor_.is_open()) {
            on_accept(ec, std::move(socket));
        }
    });
}

void caller_listener::on_accept(const std::error_code& ec, asio::ip::tcp::socket socket)
{
    if (!ec) {
        start_session(std::move(socket));
        if (sessions_.size() > options_.max_connections) {
            close_longest_idle();
        }
        accept();
        return;
    }
    record_accept_failure(ec);
    // Usually the process is out of descriptors: other connections must be closed first.
    if (close_longest_idle()) {
        accept();
        return;
    }
    pause_timer_.expires_after(accept_retry_delay);
    pause_timer_.async_wait([this](const std::error_code& cancelled) {
        if (!cancelled) {
            accept();
        }
    });
}

void caller_listener::start_session(asio::ip::tcp::socket socket)
{
    const auto session =
        std::make_shared<caller_session>(std::move(socket), static_cast<caller_session_owner&>(*this));
    sessions_.emplace(session.get(), session);
    session->start();
}

void caller_listener::accept_backlog()
{
    // Closing the listener resets connections still in its backlog, which may already carry requests.
    std::error_code ec;
    acceptor_.non_blocking(true, ec);
    while (!ec) {
        asio::ip::tcp::socket socket{io_};
        acceptor_.accept(socket, ec);
        if (!ec) {
            start_session(std::move(socket));
        }
    }
}

bool caller_listener::close_longest_idle()
{
    const auto now = time_.now();
    std::vector<caller_session*> idle;
    for (const auto& [raw, session] : sessions_) {
        if (session->state() == session_state::idle &&
            now - session->last_activity() >= min_idle_for_eviction) {
            idle.push_back(raw);
        }
    }
    if (idle.empty()) {
        return false;
    }
    const auto count = std::min(idle.size(), sessions_.size() / eviction_divisor + 1);
    const auto end = idle.begin() + static_cast<std::ptrdiff_t>(count);
    std::nth_element(idle.begin(), end - 1, idle.end(),
                     [](const auto* a, const auto* b) { return a->last_activity() < b->last_activity(); });
    log(log_level::info, "idle callers closed", {{"closed", count}, {"sessions", sessions_.size()}});
    std::for_each(idle.begin(), end, [](auto* session) { session->close_if_idle(); });
    return true;
}

void caller_listener::record_accept_failure(const std::error_code& reason)
{
    events_.on_accept_failure();
    last_accept_failure_ = time_.now();
    if (accept_failures_++ > 0) {
        return;
    }
    first_accept_failure_ = last_accept_failure_;
    const auto sessions = count_sessions();
    log(log_level::warning, "callers not accepted",
        {{"error", reason.message()},
         {"idle", sessions.at(static_cast<std::size_t>(session_state::idle))},
         {"reading", sessions.at(static_cast<std::size_t>(session_state::reading))},
         {"answering", sessions.at(static_cast<std::size_t>(session_state::answering))},
         {"closing", sessions.at(static_cast<std::size_t>(session_state::closing))}});
}

void caller_listener::check_accepting(steady_time now)
{
    if (accept_failures_ > 0 && now - last_accept_failure_ > accept_recovery_time) {
        const std::chrono::duration<double, std::milli> failing =
            last_accept_failure_ - first_accept_failure_;
        log(log_level::info, "callers accepted again",
            {{"failures", accept_failures_}, {"after_ms", failing.count()}});
        accept_failures_ = 0;
    }
}

void caller_listener::check_sessions()
{
    const auto now = time_.now();
    check_accepting(now);
    const auto copy = sessions_;
    for (const auto& [raw, session] : copy) {
        session->check(now);
    }
}

session_counts caller_listener::count_sessions() const
{
    session_counts counts{};
    for (const auto& [raw, session] : sessions_) {
        ++counts.at(static_cast<std::size_t>(session->state()));
    }
    return counts;
}

std::size_t caller_listener::count_unfinished() const
{
    return static_cast<std::size_t>(std::count_if(sessions_.begin(), sessions_.end(), [](const auto& entry) {
        return entry.second->state() == session_state::answering || entry.second->unsent() > 0;
    }));
}

void caller_listener::on_request(std::shared_ptr<caller_exchange> exchange)
{
    events_.on_request(std::move(exchange));
}

void caller_listener::on_request_abandoned(const caller_exchange& exchange)
{
    events_.on_request_abandoned(exchange);
}

} // namespace wagtailhatch
