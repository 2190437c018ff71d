#pragma once

#include "include/config/node_settings.h"
#include "include/core/clock.h"
#include "include/http/http_client.h"
#include "include/observe/metrics.h"
#include "include/observe/span_exporter.h"
#include "src/node/call_message.h"

#include <asio/io_context.hpp>

#include <map>
#include <memory>
#include <string>
#include <utility>

namespace wagtailhatch {

/// Metrics and spans of a node's requests. Labels come from fixed lists and the configuration only, so no key
/// and nothing else of a caller can get into them. Traffic thread only.
class telemetry {
public:
    telemetry(asio::io_context& io, const clock& time, http_client& client, const node_settings& settings);

    /// A caller's request ended here.
    void on_entry(const call_message& message, steady_time started, const http_response& response);

    /// The target ran a request, or it was lost there. trace: the span of this hop.
    void on_served(const call_context& context, steady_time started, const call_reply& reply);

    void set_load(const load_report& load, std::size_t in_flight_here);
    std::string text() const { return metrics_.text(); }

private:
    counter_metric& requests(const std::string& kind, const std::string& outcome, const std::string& reason);
    span make_span(const trace_context& trace, steady_time started, std::string name, span_kind kind);

    const clock& clock_;
    metrics metrics_;
    span_exporter spans_;
    std::map<std::string, counter_metric> requests_;
    histogram_metric entry_seconds_;
    histogram_metric target_seconds_;
    gauge_metric in_flight_;
    gauge_metric limit_;
    gauge_metric queued_;
    gauge_metric admit_level_;
};

} // namespace wagtailhatch
