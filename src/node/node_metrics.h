#pragma once

#include "include/core/refusal_reason.h"
#include "include/observe/metrics.h"

#include <array>
#include <string>
#include <vector>

namespace wagtailhatch {

/// Metrics of the request path, described in docs/OPERATIONS.md. Handles are looked up once, at construction.
struct node_metrics {
    explicit node_metrics(metrics& all);

    counter_metric& refused(refusal_reason reason) { return refusals[static_cast<std::size_t>(reason)]; }

    /// Estimated unevenness of a service's load. Takes a lock: keep the handle.
    gauge_metric load_spread(const std::string& service);

    metrics& registry;
    counter_metric answered;
    counter_metric failed;
    counter_metric attempts;
    counter_metric repeats;
    counter_metric callers_gone;
    counter_metric refused_beside_room;
    histogram_metric request_seconds;
    histogram_metric queue_seconds;
    gauge_metric target_in_flight;
    gauge_metric target_limit;
    gauge_metric target_queued;
    gauge_metric target_cold;
    counter_metric cold_starts;
    gauge_metric services_rejecting;
    gauge_metric services_shed;
    gauge_metric target_pace;
    gauge_metric target_service_seconds;
    counter_metric target_pace_invalid;
    gauge_metric config_version;
    gauge_metric evacuated_data_centres;
    gauge_metric peers;
    gauge_metric log_lines_left_out;
    gauge_metric event_loop_lag;
    counter_metric callers_not_accepted;
    std::vector<gauge_metric> caller_connections; ///< Indexed by session_state.
    std::vector<counter_metric> refusals;         ///< Indexed by refusal_reason.
};

} // namespace wagtailhatch
