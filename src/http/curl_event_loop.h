#pragma once

#include "src/http/curl_transfer.h"

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/steady_timer.hpp>
#include <curl/curl.h>

#include <functional>
#include <memory>
#include <system_error>
#include <unordered_map>

namespace wagtailhatch {

/// Integrates a libcurl multi handle into an Asio event loop (multi-socket interface): watches the sockets
/// and runs the timer that libcurl requests. Must be owned by a shared pointer; pending waits refer to it
/// weakly.
class curl_event_loop : public std::enable_shared_from_this<curl_event_loop> {
public:
    /// Removes a finished transfer and returns the completion to run after control has left libcurl.
    using finish_callback = std::function<std::function<void()>(CURL*, CURLcode)>;

    curl_event_loop(asio::io_context& io, finish_callback on_finished);
    ~curl_event_loop();
    curl_event_loop(const curl_event_loop&) = delete;
    curl_event_loop& operator=(const curl_event_loop&) = delete;

    bool usable() const { return multi_ != nullptr; }
    CURLM* multi() const { return multi_; }
    socket_functions sockets();

    /// Closes all connections. No callbacks run afterwards.
    void close();

private:
    struct watched_socket {
        explicit watched_socket(asio::io_context& io, int fd)
            : descriptor{io, fd}
        {
        }
        asio::posix::stream_descriptor descriptor;
        int wanted = CURL_POLL_NONE;
        bool reading = false; ///< A wait for reading is pending.
        bool writing = false;
    };
    using socket_pointer = std::shared_ptr<watched_socket>;

    static curl_socket_t open_socket(void* self, curlsocktype purpose, curl_sockaddr* address);
    static int close_socket(void* self, curl_socket_t fd);
    static int watch(CURL*, curl_socket_t fd, int what, void* self, void*);
    static int set_timer(CURLM*, long timeout_ms, void* self);

    void wait(const socket_pointer& socket);
    void wait_one(const socket_pointer& socket, bool for_reading);
    void ready(const socket_pointer& socket, int events);
    void post_timeout_action();
    void perform_socket_action(curl_socket_t fd, int events);

    asio::io_context& io_;
    finish_callback on_finished_;
    CURLM* multi_;
    asio::steady_timer timer_;
    bool timeout_action_posted_ = false;
    std::unordered_map<curl_socket_t, socket_pointer> sockets_;
};

} // namespace wagtailhatch
