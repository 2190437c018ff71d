#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <system_error>
#include <utility>

namespace wagtailhatch::standin {

/// Runs the action once on `io`, after the given time.
inline void run_after(asio::io_context& io, std::chrono::steady_clock::duration time,
                      std::function<void()> action)
{
    auto timer = std::make_shared<asio::steady_timer>(io, time);
    timer->async_wait([timer, action = std::move(action)](std::error_code ec) {
        if (!ec) {
            action();
        }
    });
}

} // namespace wagtailhatch::standin
