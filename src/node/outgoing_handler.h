#pragma once

#include "include/core/clock.h"
#include "include/core/random_source.h"
#include "include/http/http_server.h"
#include "src/node/call_message.h"
#include "src/node/handle_table.h"
#include "src/node/traffic_config.h"

#include <functional>
#include <memory>

namespace wagtailhatch {

class call_router;
class call_server;
class slot_service;

/// Serves the local listener: announcements of the target and its outgoing calls, which run only with the
/// handle of a live request. Traffic thread only.
class outgoing_handler {
public:
    outgoing_handler(const clock& time, random_source& random, call_router& router, call_server& server,
                     slot_service& slots);
    ~outgoing_handler();
    outgoing_handler(const outgoing_handler&) = delete;
    outgoing_handler& operator=(const outgoing_handler&) = delete;

    void set_configuration(std::shared_ptr<const traffic_config> config) { config_ = std::move(config); }

    void handle(const std::shared_ptr<http_exchange>& exchange);

private:
    struct outgoing_call;
    using call_ptr = std::shared_ptr<outgoing_call>;

    void announce(http_exchange& exchange);
    bool prepare(outgoing_call& c, http_request& request, refusal_reason& refusal);
    void start(const call_ptr& c);
    void end(const call_ptr& c, call_reply reply);

    const clock& clock_;
    random_source& random_;
    call_router& router_;
    call_server& server_;
    slot_service& slots_;
    std::shared_ptr<const traffic_config> config_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace wagtailhatch
