#pragma once

#include "include/core/clock.h"
#include "src/http1/target_connection.h"

#include <asio/io_context.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace wagtailhatch {

/// Pool of connections to the target next to this node. Reuses the most recently used idle connection.
/// Single-threaded.
class target_pool final : private target_connection_owner {
public:
    target_pool(asio::io_context& io, const clock& time, const asio::ip::tcp::endpoint& target);
    ~target_pool() override;
    target_pool(const target_pool&) = delete;
    target_pool& operator=(const target_pool&) = delete;

    /// Sends a request. Returns the connection that carries it, for cancel() and flow control.
    std::weak_ptr<target_connection> start(target_request request, std::shared_ptr<target_events> events);

    /// Closes idle connections that the target is about to close, and those in use whose target no longer
    /// acknowledges anything. Call several times per second.
    void close_expired();

    /// Closes all idle connections, after the target was replaced.
    void close_idle();

    std::size_t connections() const { return connections_.size(); }
    std::uint64_t opened() const { return opened_; }

private:
    void on_idle(target_connection& connection) override;
    void on_end(target_connection& connection) override;
    std::shared_ptr<target_connection> take_idle(const target_request& request);

    asio::io_context& io_;
    const clock& time_;
    asio::ip::tcp::endpoint target_;
    std::unordered_map<target_connection*, std::shared_ptr<target_connection>> connections_;
    /// A part of connections_; the most recently used is last.
    std::vector<std::shared_ptr<target_connection>> idle_;
    std::uint64_t opened_ = 0;
    bool closing_ = false;
};

} // namespace wagtailhatch
