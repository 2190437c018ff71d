#pragma once

#include "include/core/clock.h"
#include "include/peer/make_peer_transport.h"

#include <asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace wagtailhatch::test {

constexpr const char* shared_secret = "a secret of the test, 32 bytes long";

/// Runs the loop until the condition holds. The bound only ends a test that hangs.
inline bool run_until(asio::io_context& io, const std::function<bool()>& condition)
{
    const auto give_up = std::chrono::steady_clock::now() + std::chrono::seconds{60};
    while (!condition() && std::chrono::steady_clock::now() < give_up) {
        io.restart();
        io.run_one_for(std::chrono::milliseconds{50});
    }
    return condition();
}

inline std::unique_ptr<peer_transport> start_peer(asio::io_context& io, peer_options options = {})
{
    static const system_clock_source time;
    if (options.secret.empty()) {
        options.secret = shared_secret;
    }
    auto made = make_peer_transport(io, time, options);
    return made ? std::move(*made) : nullptr;
}

} // namespace wagtailhatch::test
