#pragma once

#include "include/config/node_settings.h"
#include "include/core/clock.h"
#include "include/core/result.h"
#include "src/node/control_plane.h"
#include "src/node/event_thread.h"
#include "src/node/traffic_plane.h"

#include <functional>
#include <memory>
#include <string>

namespace wagtailhatch {

/// Root of a node process: starts traffic, then control, and stops them in the reverse order. Runs on the
/// main thread.
class node_supervisor {
public:
    node_supervisor(const clock& time, node_settings settings);
    ~node_supervisor();
    node_supervisor(const node_supervisor&) = delete;
    node_supervisor& operator=(const node_supervisor&) = delete;

    /// Starts both planes, or tells which one failed and why.
    result<node_ports> start();

    /// Graceful stop: leaves the group, lets requests in flight end, hands over slots. Blocks, at most a
    /// little longer than the drain timeout of the settings. A second call does nothing.
    void stop();

private:
    control_requests make_control_requests();
    traffic_updates make_traffic_updates();
    void wait_for(const std::function<void(std::function<void()>)>& task);

    const clock& clock_;
    node_settings settings_;
    event_thread traffic_thread_;
    event_thread control_thread_;
    std::unique_ptr<traffic_plane> traffic_;
    std::unique_ptr<control_plane> control_;
    bool stopped_ = false;
};

} // namespace wagtailhatch
