#pragma once

#include "include/http/http_client.h"
#include "include/http/http_server.h"
#include "tools/standin_target/ledger.h"
#include "tools/standin_target/target_settings.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>

namespace wagtailhatch::standin {

/// Back-end server of one service: runs up to `slots` requests concurrently and rejects others with 503.
class target {
public:
    target(asio::io_context& io, http_client& client, target_settings settings);

    void handle(const std::shared_ptr<http_exchange>& exchange);

    /// Registers the target with its node now and repeats this at each announce interval (heartbeat).
    /// `own_address` is the "IP:PORT" at which the node reaches the target.
    void start_announcing(std::string own_address);

    /// Announces the drain, keeps serving for the drain time, deregisters the target, then calls `done`.
    void drain(std::function<void()> done);

    /// Returns whether no request is running.
    bool idle() const { return running_ == 0; }

private:
    struct job {
        std::shared_ptr<http_exchange> exchange;
        std::string id;
        steady_time deadline = steady_time::max();
        std::size_t next_call = 0;
        bool abandoned = false; ///< The caller disconnected.
    };
    using job_pointer = std::shared_ptr<job>;

    bool serve_builtin_path(http_exchange& exchange);
    bool try_reject(http_exchange& exchange);
    void run(const job_pointer& j);
    void call_next(const job_pointer& j);
    void finish(const job_pointer& j, int status);
    void announce();
    http_headers answer_headers(const std::string& id) const;
    duration next_service_time();

    asio::io_context& io_;
    http_client& client_;
    target_settings settings_;
    ledger ledger_;
    std::mt19937_64 random_;
    std::size_t running_ = 0;
    std::string own_address_;
    std::uint64_t start_time_ms_;
    std::uint64_t sequence_ = 0;
    std::uint64_t calls_made_ = 0;
    bool draining_ = false;
};

} // namespace wagtailhatch::standin
