#pragma once

#include "include/core/clock.h"
#include "include/core/random_source.h"
#include "include/http/http_server.h"
#include "src/node/call_message.h"
#include "src/node/traffic_config.h"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace wagtailhatch {

class call_router;
class slot_service;
struct run_once_order;
struct run_once_result;

/// Serves the callers listener: finds the route, checks the key, takes a token of the workspace's rate and
/// starts the call. Traffic thread only.
class entry_handler {
public:
    /// Runs when a request of a caller ends, for metrics and spans.
    using observer = std::function<void(const call_message&, steady_time started, const http_response&)>;

    entry_handler(asio::io_context& io, const clock& time, random_source& random, call_router& router,
                  slot_service& slots);
    ~entry_handler();
    entry_handler(const entry_handler&) = delete;
    entry_handler& operator=(const entry_handler&) = delete;

    void set_configuration(std::shared_ptr<const traffic_config> config) { config_ = std::move(config); }
    /// While stale, routes that need a key are refused: the node cannot learn of withdrawn keys.
    void set_stale(bool stale) { stale_ = stale; }
    /// Traces one in so many requests whose caller started no trace; 0: none.
    void set_sampling(std::uint32_t one_in) { sampled_one_in_ = one_in; }
    void set_observer(observer o) { observer_ = std::move(o); }

    /// From now on every request is refused as leaving.
    void leave() { leaving_ = true; }

    void handle(const std::shared_ptr<http_exchange>& exchange);

    /// Runs a run-once order at its home, as slot_service's runner.
    void run_order(const run_once_order& order, steady_time deadline,
                   std::function<void(run_once_result)> done);

    std::size_t in_flight() const { return in_flight_; }

private:
    struct entry_request;
    using request_ptr = std::shared_ptr<entry_request>;

    result<call_message> admit(http_request& request, refusal_reason& refusal);
    refusal_reason check_key(const http_request& request, const route_config& route, std::string& workspace);
    void take_token(const request_ptr& r);
    void after_token(const request_ptr& r);
    void start_order(const request_ptr& r);
    void end(const request_ptr& r, call_reply reply);

    asio::io_context& io_;
    const clock& clock_;
    random_source& random_;
    call_router& router_;
    slot_service& slots_;
    observer observer_;
    std::shared_ptr<const traffic_config> config_;
    std::uint32_t sampled_one_in_ = 0;
    bool leaving_ = false;
    bool stale_ = false;
    std::size_t in_flight_ = 0;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace wagtailhatch
