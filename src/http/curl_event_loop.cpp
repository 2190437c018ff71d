#include "src/http/curl_event_loop.h"

#include <asio/post.hpp>

#include <algorithm>
#include <chrono>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>
#include <vector>

namespace wagtailhatch {
namespace {

/// TCP_USER_TIMEOUT: the connection fails if sent bytes stay unacknowledged for this long. Without it, the
/// kernel retransmits to an unresponsive peer for about 15 minutes.
constexpr unsigned user_timeout_ms = 5000;

/// Idle connections kept for reuse. libcurl's default is four for each transfer in progress, which closes
/// connections as soon as a burst ends.
constexpr long max_idle_connections = 2000;

} // namespace

curl_event_loop::curl_event_loop(asio::io_context& io, finish_callback on_finished)
    : io_{io}
    , on_finished_{std::move(on_finished)}
    , multi_{curl_multi_init()}
    , timer_{io}
{
    if (multi_ == nullptr) {
        return;
    }
    curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &curl_event_loop::watch);
    curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &curl_event_loop::set_timer);
    curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, max_idle_connections);
    curl_multi_setopt(multi_, CURLMOPT_PIPELINING, static_cast<long>(CURLPIPE_NOTHING));
}

curl_event_loop::~curl_event_loop()
{
    close();
}

void curl_event_loop::close()
{
    on_finished_ = nullptr;
    if (multi_ != nullptr) {
        curl_multi_cleanup(std::exchange(multi_, nullptr));
    }
    sockets_.clear();
    timer_.cancel();
}

socket_functions curl_event_loop::sockets()
{
    return socket_functions{&curl_event_loop::open_socket, &curl_event_loop::close_socket, this};
}

curl_socket_t curl_event_loop::open_socket(void* self, curlsocktype, curl_sockaddr* address)
{
    auto& loop = *static_cast<curl_event_loop*>(self);
    const int fd = ::socket(address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
    if (fd < 0) {
        return CURL_SOCKET_BAD;
    }
    ::setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms, sizeof user_timeout_ms);
    try {
        loop.sockets_[fd] = std::make_shared<watched_socket>(loop.io_, fd);
    }
    catch (const std::exception&) {
        ::close(fd);
        return CURL_SOCKET_BAD;
    }
    return fd;
}

int curl_event_loop::close_socket(void* self, curl_socket_t fd)
{
    auto& loop = *static_cast<curl_event_loop*>(self);
    const auto node = loop.sockets_.extract(fd);
    if (node.empty()) {
        return ::close(fd);
    }
    node.mapped()->wanted = CURL_POLL_NONE;
    std::error_code ignored;
    node.mapped()->descriptor.close(ignored);
    return 0;
}

int curl_event_loop::watch(CURL*, curl_socket_t fd, int what, void* self, void*)
{
    auto& loop = *static_cast<curl_event_loop*>(self);
    const auto found = loop.sockets_.find(fd);
    if (found != loop.sockets_.end()) {
        found->second->wanted = what == CURL_POLL_REMOVE ? CURL_POLL_NONE : what;
        loop.wait(found->second);
    }
    return 0;
}

void curl_event_loop::wait(const socket_pointer& socket)
{
    if ((socket->wanted & CURL_POLL_IN) != 0 && !socket->reading) {
        wait_one(socket, true);
    }
    if ((socket->wanted & CURL_POLL_OUT) != 0 && !socket->writing) {
        wait_one(socket, false);
    }
}

void curl_event_loop::wait_one(const socket_pointer& socket, bool for_reading)
{
    (for_reading ? socket->reading : socket->writing) = true;
    const auto type =
        for_reading ? asio::posix::stream_descriptor::wait_read : asio::posix::stream_descriptor::wait_write;
    socket->descriptor.async_wait(type, [weak = weak_from_this(), socket, for_reading](std::error_code ec) {
        (for_reading ? socket->reading : socket->writing) = false;
        const auto self = weak.lock();
        const int wanted = for_reading ? CURL_POLL_IN : CURL_POLL_OUT;
        if (self == nullptr || ec == asio::error::operation_aborted || (socket->wanted & wanted) == 0) {
            return;
        }
        self->ready(socket, for_reading ? CURL_CSELECT_IN : CURL_CSELECT_OUT);
    });
}

void curl_event_loop::ready(const socket_pointer& socket, int events)
{
    perform_socket_action(socket->descriptor.native_handle(), events);
    if (socket->descriptor.is_open()) {
        wait(socket);
    }
}

int curl_event_loop::set_timer(CURLM*, long timeout_ms, void* self)
{
    auto& loop = *static_cast<curl_event_loop*>(self);
    if (timeout_ms < 0) {
        loop.timer_.cancel();
        return 0;
    }
    if (timeout_ms == 0) {
        // Requested on every start of a transfer. libcurl must not be re-entered from its own callback;
        // posting avoids that without the system calls of a timer.
        loop.timer_.cancel();
        loop.post_timeout_action();
        return 0;
    }
    loop.timer_.expires_after(std::chrono::milliseconds{timeout_ms});
    loop.timer_.async_wait([weak = loop.weak_from_this()](std::error_code ec) {
        const auto self_again = weak.lock();
        if (!ec && self_again != nullptr) {
            self_again->perform_socket_action(CURL_SOCKET_TIMEOUT, 0);
        }
    });
    return 0;
}

void curl_event_loop::post_timeout_action()
{
    if (std::exchange(timeout_action_posted_, true)) {
        return;
    }
    asio::post(io_, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self != nullptr) {
            self->timeout_action_posted_ = false;
            self->perform_socket_action(CURL_SOCKET_TIMEOUT, 0);
        }
    });
}

void curl_event_loop::perform_socket_action(curl_socket_t fd, int events)
{
    if (multi_ == nullptr) {
        return;
    }
    const auto self = shared_from_this();
    int running = 0;
    curl_multi_socket_action(multi_, fd, events, &running);
    std::vector<std::function<void()>> completions;
    int left = 0;
    while (const auto* message = curl_multi_info_read(multi_, &left)) {
        if (message->msg == CURLMSG_DONE) {
            completions.push_back(on_finished_(message->easy_handle, message->data.result));
        }
    }
    for (const auto& completion : completions) {
        // A completion may destroy the client, which discards the remaining completions.
        if (on_finished_ != nullptr) {
            completion();
        }
    }
}

} // namespace wagtailhatch
