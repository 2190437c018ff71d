#pragma once

#include "include/config/node_settings.h"
#include "include/core/clock.h"
#include "include/core/result.h"
#include "src/node/traffic_plane.h"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace wagtailhatch {

/// What control tells traffic. Called on the control thread; implementations post to the traffic loop.
struct traffic_updates {
    std::function<void(const node_ref& self)> activate;
    std::function<void(std::shared_ptr<const configuration>)> configuration_changed;
    std::function<void(std::shared_ptr<const member_lists>)> members_changed;
    std::function<void(const std::string& id, std::uint64_t incarnation)> instance_ended;
    std::function<void(bool stale)> stale_changed;
    std::function<void(const control_status&)> status_changed;

    /// Sends a request on channel::config; the completion runs on the control loop.
    std::function<void(const peer_address& to, std::string payload, duration timeout,
                       std::function<void(peer_reply)> done)>
        send_config;
};

/// Membership and configuration of a node, on the control thread. All functions run on that thread.
class control_plane {
public:
    virtual ~control_plane() = default;

    /// Joins the service's group under the given peer address and asks for the configuration.
    virtual void start() = 0;

    virtual void follow(const std::string& service) = 0;
    virtual void target_changed(bool ready, bool draining) = 0;
    virtual void peer_lost(const peer_address& address) = 0;
    virtual void config_request(const std::string& payload, std::function<void(std::string)> respond) = 0;

    /// Tells the group that this instance takes no new work.
    virtual void announce_leaving() = 0;

    /// Tells the group and the table that this instance has left; done runs at the latest after limit.
    virtual void leave(duration limit, std::function<void()> done) = 0;
};

/// Opens the datagram socket on the port number of the peers listener.
result<std::unique_ptr<control_plane>> make_control_plane(asio::io_context& io, const clock& time,
                                                          const node_settings& settings,
                                                          const peer_address& advertised, std::uint64_t seed,
                                                          traffic_updates updates);

} // namespace wagtailhatch
