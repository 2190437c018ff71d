#pragma once

#include "include/core/clock.h"

#include <optional>

namespace wagtailhatch {

/// Schedule of a node's graceful shutdown, in fractions of the stop time. Callers learn of it by the
/// readiness check, within two seconds; until then the node serves them. Meanwhile the target beside it
/// continues to serve the callers of other nodes, and the peers are notified only shortly before the end: a
/// target without its node is capacity that its service lacks. Not thread-safe.
class drain_schedule {
public:
    /// stop_time: from the stop request until the process is killed.
    explicit drain_schedule(duration stop_time);

    void begin(steady_time now) { started_ = now; }
    bool begun() const { return started_.has_value(); }

    /// Whether peers should stop sending requests to the target.
    bool stops_peer_traffic(steady_time now) const;

    /// Whether to take on a new request that ends by the given deadline. Until callers know of the shutdown,
    /// every request is served; after that only one that ends before the shutdown does, because the process
    /// would exit in the middle of any other.
    bool admits(steady_time now, steady_time deadline) const;

    /// Whether the process may exit. idle: no request is in progress, so it may exit earlier.
    bool finished(steady_time now, bool idle) const;

private:
    bool passed(steady_time now, duration since) const { return started_ && now - *started_ >= since; }

    duration stop_time_;
    std::optional<steady_time> started_;
};

} // namespace wagtailhatch
