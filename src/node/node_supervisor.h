#pragma once

#include "include/call/header_codec.h"
#include "include/config/node_settings.h"
#include "include/core/clock.h"
#include "include/core/result.h"
#include "include/observe/metrics.h"
#include "src/node/control_plane.h"
#include "src/node/event_thread.h"
#include "src/node/node_metrics.h"
#include "src/node/traffic_plane.h"

#include <memory>

namespace wagtailhatch {

/// Owns the two planes of a node process: starts the traffic plane, then the control plane, and shuts them
/// down in the reverse order. Used on the main thread.
class node_supervisor {
public:
    node_supervisor(const clock& time, node_settings settings, const header_codec& codec);
    ~node_supervisor();
    node_supervisor(const node_supervisor&) = delete;
    node_supervisor& operator=(const node_supervisor&) = delete;

    /// Starts both planes. On failure returns the error of the plane that did not start.
    result<bool> start();

    /// Applies re-read settings. Only seeds take effect at once; everything else needs a restart.
    void reload(const node_settings& settings);

    /// Graceful shutdown: fails the readiness check so that callers use other nodes, lets requests in
    /// progress finish and removes the node's row from the store. Blocks for less than bounds.stop_time of
    /// the settings, so that the process can close its connections and exit before it is killed.
    void stop();

private:
    control_events make_control_events();
    traffic_events make_traffic_events();
    void wait_for(const std::function<void(std::function<void()>)>& task, std::chrono::milliseconds limit);

    const clock& clock_;
    node_settings settings_;
    const header_codec& codec_;
    metrics metrics_;
    node_metrics node_metrics_{metrics_};
    event_thread traffic_thread_;
    event_thread control_thread_;
    std::unique_ptr<traffic_plane> traffic_;
    std::unique_ptr<control_plane> control_;
    bool stopped_ = false;
};

} // namespace wagtailhatch
