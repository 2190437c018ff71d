#include "src/node/node_metrics.h"

#include "src/http1/caller_session.h"

#include <string>

namespace wagtailhatch {
namespace {

constexpr const char* requests_name = "wh_requests_total";
constexpr const char* requests_help = "Requests that began at this node, by how they ended";

} // namespace

node_metrics::node_metrics(metrics& all)
    : registry{all}
    , answered{registry.counter(requests_name, requests_help, {{"outcome", "answered"}})}
    , failed{registry.counter(requests_name, requests_help, {{"outcome", "failed"}})}
    , attempts{registry.counter("wh_attempts_total", "Calls to targets, refused ones included")}
    , repeats{registry.counter("wh_repeats_total", "Calls after one that reached a target")}
    , callers_gone{registry.counter(requests_name, requests_help, {{"outcome", "caller_gone"}})}
    , refused_beside_room{registry.counter(
          "wh_refused_beside_room_total",
          "Calls refused for overload while another target of the service was believed to have a free slot")}
    , request_seconds{registry.histogram(
          "wh_request_seconds", "Time from a whole request to its answer, seconds", latency_buckets())}
    , queue_seconds{registry.histogram("wh_queue_seconds",
                                       "Time that a call waited for the target before it was sent, seconds",
                                       latency_buckets())}
    , target_in_flight{registry.gauge("wh_target_in_flight", "Requests that the target runs")}
    , target_limit{registry.gauge("wh_target_limit", "Requests that the target may run at once")}
    , target_queued{registry.gauge("wh_target_queued", "Requests that wait for the target")}
    , target_cold{registry.gauge("wh_target_cold", "1 while the target counts as cold, else 0")}
    , cold_starts{registry.counter("wh_target_cold_starts_total", "Times that the target turned cold")}
    , services_rejecting{registry.gauge("wh_services_rejecting",
                                        "Services whose targets reject a part of all calls of this node")}
    , services_shed{registry.gauge("wh_services_shed_for_rejections",
                                   "Rejecting services for which this node asks the entries to shed")}
    , target_pace{registry.gauge("wh_target_pace",
                                 "Announced duration of work on the target's host, 1 as usual; 0: unknown")}
    , target_service_seconds{registry.gauge(
          "wh_target_service_seconds",
          "Expected time from sending a request to the target until its response, seconds; 0: unknown")}
    , target_pace_invalid{registry.counter("wh_target_pace_invalid_total",
                                           "Invalid paces in responses of the target")}
    , config_version{registry.gauge("wh_config_version", "Version of the configuration in force")}
    , evacuated_data_centres{registry.gauge("wh_evacuated_data_centres",
                                            "Data centres that the operators have evacuated")}
    , peers{registry.gauge("wh_peers", "Other nodes with a link")}
    , log_lines_left_out{registry.gauge("wh_log_lines_left_out", "Log lines left out since the start")}
    , event_loop_lag{registry.gauge("wh_event_loop_lag_seconds",
                                    "How late the last periodic task of the traffic thread ran, seconds")}
    , callers_not_accepted{registry.counter("wh_callers_not_accepted_total",
                                            "Failed attempts to accept a caller's connection")}
{
    caller_connections.reserve(session_state_names.size());
    for (const auto state : session_state_names) {
        caller_connections.push_back(registry.gauge("wh_caller_connections",
                                                    "Open connections of callers, by what they are doing",
                                                    {{"state", std::string{state}}}));
    }
    refusals.reserve(refusal_reason_names.size());
    for (const auto reason : refusal_reason_names) {
        refusals.push_back(registry.counter("wh_refusals_total", "Requests that this node refused, by reason",
                                            {{"reason", std::string{reason}}}));
    }
}

gauge_metric node_metrics::load_spread(const std::string& service)
{
    return registry.gauge("wh_service_load_spread",
                          "Mean absolute deviation of the estimated utilisation over the service's targets",
                          {{"of", service}});
}

} // namespace wagtailhatch
