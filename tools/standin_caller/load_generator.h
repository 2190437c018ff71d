#pragma once

#include "include/http/http_client.h"
#include "tools/standin_caller/load_result.h"
#include "tools/standin_caller/load_settings.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <random>
#include <string>

namespace wagtailhatch::standin {

/// Open-loop load generator: starts requests at a fixed rate and verifies each response.
class load_generator {
public:
    load_generator(asio::io_context& io, http_client& client, load_settings settings);

    /// Starts the load and calls `done` once the last request has completed.
    void start(std::function<void()> done);

    load_result& result() { return result_; }

private:
    struct request {
        std::string id;
        std::string attempt_id; ///< Sent as the request id: each attempt has its own.
        const weighted_path* path = nullptr;
        const workspace_key* key = nullptr;
        steady_time due;
        std::size_t attempts = 0;
        std::size_t node = 0; ///< Index of the node used by the last attempt.
    };
    using request_pointer = std::shared_ptr<request>;

    struct attempt_result {
        request_outcome outcome = request_outcome::unknown;
        std::string reason;
        bool retry = false;
    };

    void schedule_next();
    void begin();
    void attempt(const request_pointer& r);
    std::size_t choose_node(const request& r);
    http_call make_call(request& r);
    attempt_result classify_response(const request& r, const http_result& answer) const;
    void on_completed(const request_pointer& r, const http_result& answer);

    asio::io_context& io_;
    http_client& client_;
    load_settings settings_;
    load_result result_;
    std::mt19937_64 random_;
    std::discrete_distribution<std::size_t> path_distribution_;
    asio::steady_timer request_timer_;
    std::function<void()> done_;
    steady_time first_due_;
    std::size_t started_ = 0;
    std::size_t finished_ = 0;
};

} // namespace wagtailhatch::standin
