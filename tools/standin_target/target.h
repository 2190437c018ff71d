#pragma once

#include "include/http/http_client.h"
#include "include/http/http_server.h"
#include "tools/standin_target/ledger.h"
#include "tools/standin_target/load_report.h"
#include "tools/standin_target/target_settings.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>

namespace wagtailhatch::standin {

/// A back-end process of one service: runs up to `slots` requests at once and queues the rest.
class target {
public:
    target(asio::io_context& io, http_client& client, target_settings settings);

    void handle(const std::shared_ptr<http_exchange>& exchange);

    /// Announces the target at its node now and then each second.
    void start_announcing(std::string own_address);

    /// Announces draining, lets requests finish, then runs done.
    void drain(std::function<void()> done);

    bool idle() const { return running_ == 0 && waiting_.empty(); }

private:
    struct job {
        std::shared_ptr<http_exchange> exchange;
        steady_time received;
        steady_time deadline = steady_time::max();
        std::string order;
        std::string calls;
        std::size_t next_call = 0;
        bool abandoned = false; ///< Its caller hung up.
    };
    using job_pointer = std::shared_ptr<job>;

    bool answer_own(http_exchange& exchange);
    void start_waiting();
    void run(const job_pointer& j);
    void call_next(const job_pointer& j);
    void on_call_ended(const job_pointer& j, const http_result& result);
    void finish(const job_pointer& j, int status);
    void announce();
    http_request downstream_request(const job& j) const;
    duration next_service_time();

    asio::io_context& io_;
    http_client& client_;
    target_settings settings_;
    ledger ledger_;
    load_report load_;
    std::mt19937_64 random_;
    std::deque<job_pointer> waiting_;
    std::size_t running_ = 0;
    std::string own_address_;
    steady_time started_;
    steady_time drain_until_{};
    bool draining_ = false;
};

} // namespace wagtailhatch::standin
