#pragma once

#include "include/config/configuration.h"
#include "include/config/node_settings.h"
#include "include/core/clock.h"
#include "include/core/result.h"
#include "include/membership/member.h"
#include "include/ownership/slot_types.h"
#include "include/peer/peer_transport.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace wagtailhatch {

/// Members by service, as control publishes them.
using member_lists = std::map<std::string, std::vector<member>>;

/// Ports that the system chose, for the ready line.
struct node_ports {
    std::uint16_t callers = 0;
    std::uint16_t local = 0;
    std::uint16_t admin = 0;
    peer_address peers;
};

/// What traffic asks of control. Called on the traffic thread; implementations post to their own loop.
struct control_requests {
    std::function<void(const std::string& service)> follow;
    std::function<void(bool ready, bool draining)> target_changed;
    std::function<void(const peer_address&)> peer_lost;
    std::function<void(std::string payload, std::function<void(std::string)> respond)> config_request;
};

/// State of control that the admin listener reports.
struct control_status {
    std::uint64_t version = 0;
    std::string membership;
    std::string problem; ///< Why the newest configuration is not in force; empty: it is.
    std::uint64_t platform_reads = 0;
    std::uint64_t control_bytes = 0; ///< Sent and received by control since the start.
};

/// Listeners, request path, slots and admin pages of a node, on the traffic thread. create() and the
/// functions below run on that thread.
class traffic_plane {
public:
    virtual ~traffic_plane() = default;

    virtual node_ports ports() const = 0;
    virtual peer_transport& peers() = 0;

    /// Begins to serve, once this start's incarnation is known.
    virtual void activate(const node_ref& self) = 0;
    virtual void set_configuration(const std::shared_ptr<const configuration>& config) = 0;
    virtual void set_members(const std::shared_ptr<const member_lists>& members) = 0;
    virtual void report_ended(const std::string& id, std::uint64_t incarnation) = 0;
    virtual void set_stale(bool stale) = 0;
    virtual void set_control_status(const control_status& status) = 0;

    /// Graceful stop: refuses new work, lets what is in flight end, hands over slots. done runs once.
    virtual void drain(duration limit, std::function<void()> done) = 0;
};

/// Opens all listeners. Fails with the setting and the system's error.
result<std::unique_ptr<traffic_plane>> make_traffic_plane(asio::io_context& io, const clock& time,
                                                          const node_settings& settings, std::uint64_t seed,
                                                          control_requests control);

} // namespace wagtailhatch
