#include "src/node/telemetry.h"

namespace wagtailhatch {
namespace {

span_exporter_options exporter_options(const node_settings& settings)
{
    span_exporter_options options;
    options.endpoint = settings.trace_endpoint;
    options.service = settings.service;
    options.instance = settings.instance;
    return options;
}

double seconds(duration d)
{
    return std::chrono::duration<double>(d).count();
}

std::string value_of(const http_response& response, std::string_view name)
{
    const auto* value = find_header(response.headers, name);
    return value == nullptr ? "none" : *value;
}

} // namespace

telemetry::telemetry(asio::io_context& io, const clock& time, http_client& client,
                     const node_settings& settings)
    : clock_{time}
    , metrics_{{{"service", settings.service}, {"data_centre", settings.data_centre}}}
    , spans_{io, client, exporter_options(settings)}
    , entry_seconds_{metrics_.histogram("wagtailhatch_entry_seconds", "Time of callers' requests",
                                        latency_buckets())}
    , target_seconds_{metrics_.histogram("wagtailhatch_target_seconds", "Time of requests in the target",
                                         latency_buckets())}
    , in_flight_{metrics_.gauge("wagtailhatch_target_in_flight", "Requests that the target runs")}
    , limit_{metrics_.gauge("wagtailhatch_target_limit", "Requests that may run at once")}
    , queued_{metrics_.gauge("wagtailhatch_target_queued", "Requests that wait for the target")}
    , admit_level_{
          metrics_.gauge("wagtailhatch_admit_level", "Importance classes admitted, from 0 (none) to 4 (all)")}
{
}

counter_metric& telemetry::requests(const std::string& kind, const std::string& outcome,
                                    const std::string& reason)
{
    const auto key = kind + "/" + outcome + "/" + reason;
    const auto found = requests_.find(key);
    if (found != requests_.end()) {
        return found->second;
    }
    auto counter = metrics_.counter("wagtailhatch_requests_total", "Requests by how they ended",
                                    {{"kind", kind}, {"outcome", outcome}, {"reason", reason}});
    return requests_.emplace(key, counter).first->second;
}

span telemetry::make_span(const trace_context& trace, steady_time started, std::string name, span_kind kind)
{
    span s;
    s.context = trace;
    if (trace.parent_id != decltype(trace.parent_id){}) {
        s.parent = trace.parent_id;
    }
    s.name = std::move(name);
    s.kind = kind;
    s.end = clock_.wall_now();
    s.start = s.end - std::chrono::duration_cast<wall_time::duration>(clock_.now() - started);
    return s;
}

void telemetry::on_entry(const call_message& message, steady_time started, const http_response& response)
{
    const auto outcome = value_of(response, "wh-outcome");
    const auto reason = value_of(response, "wh-reason");
    requests("entry", outcome, reason).add();
    entry_seconds_.observe(seconds(clock_.now() - started));
    if (message.context.trace.sampled) {
        auto s =
            make_span(message.context.trace, started, "entry " + message.context.route, span_kind::server);
        s.attributes.emplace_back("workspace", message.context.workspace);
        s.attributes.emplace_back("wh.outcome", outcome);
        s.attributes.emplace_back("wh.reason", reason);
        s.failed = outcome != "answered";
        spans_.record(std::move(s));
    }
}

void telemetry::on_served(const call_context& context, steady_time started, const call_reply& reply)
{
    const std::string outcome{to_string(reply.result)};
    const std::string reason{to_string(reply.reason)};
    requests("target", outcome, reason).add();
    target_seconds_.observe(seconds(clock_.now() - started));
    if (context.trace.sampled) {
        auto s = make_span(context.trace, started, "target", span_kind::client);
        s.attributes.emplace_back("workspace", context.workspace);
        s.attributes.emplace_back("wh.depth", static_cast<std::int64_t>(context.depth));
        s.attributes.emplace_back("wh.outcome", outcome);
        s.failed = reply.result != wagtailhatch::outcome::answered;
        spans_.record(std::move(s));
    }
}

void telemetry::set_load(const load_report& load, std::size_t in_flight_here)
{
    in_flight_.set(static_cast<double>(in_flight_here));
    limit_.set(load.limit);
    queued_.set(load.queued);
    admit_level_.set(load.own.value());
}

} // namespace wagtailhatch
