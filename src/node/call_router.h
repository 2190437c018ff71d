#pragma once

#include "include/config/configuration.h"
#include "include/core/clock.h"
#include "include/core/random_source.h"
#include "include/core/string_map.h"
#include "include/membership/member.h"
#include "include/peer/peer_transport.h"
#include "include/retry/retry_throttle.h"
#include "include/retry/retry_tokens.h"
#include "include/routing/balancer.h"
#include "src/node/call_message.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace wagtailhatch {

/// Sends calls to the instances of services: chooses, tries again within the bounds, and learns from the
/// answers. Traffic thread only.
class call_router {
public:
    using completion = std::function<void(call_reply)>;

    /// A call under way, for cancel().
    class call;
    using call_handle = std::weak_ptr<call>;

    struct options {
        std::string instance; ///< Id of this node; calls to itself skip the network.
        std::string data_centre;
        std::uint32_t max_redirects = 3; ///< Instances that did not take the call and cost no retry.
    };

    /// Runs calls whose chosen instance is this node itself.
    using local_server =
        std::function<std::function<void()>(call_message, std::function<void(call_reply)> respond)>;

    call_router(options opts, const clock& time, random_source& random, peer_transport& peers);
    ~call_router();
    call_router(const call_router&) = delete;
    call_router& operator=(const call_router&) = delete;

    void set_local_server(local_server server) { local_server_ = std::move(server); }

    /// Runs when a call names a service of which nothing is known yet.
    void on_unknown_service(std::function<void(const std::string&)> callback)
    {
        unknown_service_ = std::move(callback);
    }

    void set_members(const std::string& service, const std::vector<member>& members);
    void set_configuration(const configuration& config);

    /// Starts a call; tokens bound its extra attempts over the whole chain. Completes exactly once.
    call_handle start(call_message message, std::shared_ptr<retry_tokens> tokens, completion done);

    /// Gives the call up and tells the instance that has it. The completion runs with reason cancelled.
    void cancel(const call_handle& handle);

    /// What the given services admit on a route, for load_report::path.
    admit_level path_pressure(const std::vector<std::string>& services, std::string_view route) const;

    /// Usable instances of a service, for status.
    std::size_t usable(const std::string& service) const;

private:
    using call_ptr = std::shared_ptr<call>;

    balancer& balancer_for(const std::string& service);
    void attempt(const call_ptr& c);
    void send(const call_ptr& c, const member& target);
    void on_reply(const call_ptr& c, const peer_reply& reply);
    void on_answer(const call_ptr& c, call_reply reply);
    void on_lost(const call_ptr& c, const peer_failure& failure);
    bool retry_allowed(const call_ptr& c, const call_reply& reply);
    void finish(const call_ptr& c, call_reply reply);

    options options_;
    const clock& clock_;
    random_source& random_;
    peer_transport& peers_;
    local_server local_server_;
    std::function<void(const std::string&)> unknown_service_;
    string_map<std::unique_ptr<balancer>> balancers_;
    std::vector<std::pair<std::string, double>> weights_;
    retry_throttle throttle_{retry_throttle_options{}};
};

} // namespace wagtailhatch
