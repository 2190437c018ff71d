#pragma once

#include "include/http/http_client.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <utility>

namespace wagtailhatch::test {

/// Runs the loop until the condition holds. Returns false after 30 s, so that a failing test does not hang.
inline bool run_until(asio::io_context& io, const std::function<bool()>& condition)
{
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds{30};
    io.restart();
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline) {
            return false;
        }
        io.run_one_for(std::chrono::milliseconds{20});
        if (io.stopped()) {
            io.restart();
        }
    }
    return true;
}

/// Runs all ready handlers, before a check of what must or must not have happened. Bytes sent over loopback
/// are available to the receiver immediately, so this does not depend on elapsed time.
inline void settle(asio::io_context& io)
{
    io.restart();
    for (int turn = 0; turn < 200; ++turn) {
        io.poll();
    }
}

inline http_call make_call(const std::string& address, const std::string& method, const std::string& target,
                           std::string body = {})
{
    http_call call;
    call.address = address;
    call.request.method = method;
    call.request.target = target;
    call.request.body = std::move(body);
    call.timeout = std::chrono::seconds{20};
    return call;
}

/// Starts the call and runs the loop until the call completes.
inline http_result complete(asio::io_context& io, http_client& client, http_call call)
{
    std::optional<http_result> out;
    client.start(std::move(call), [&out](http_result result) { out = std::move(result); });
    run_until(io, [&out] { return out.has_value(); });
    return out.value_or(http_result{});
}

} // namespace wagtailhatch::test
