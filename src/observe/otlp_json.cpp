#include "include/observe/span_exporter.h"

#include <nlohmann/json.hpp>

namespace wagtailhatch {
namespace {

using nlohmann::json;

json text_attribute(const std::string& key, const std::string& value)
{
    return {{"key", key}, {"value", {{"stringValue", value}}}};
}

json to_json(const span_attribute& attribute)
{
    const auto& [key, value] = attribute;
    if (const auto* text = std::get_if<std::string>(&value)) {
        return text_attribute(key, *text);
    }
    if (const auto* number = std::get_if<std::int64_t>(&value)) {
        // OTLP's JSON encoding represents 64-bit integers as decimal strings.
        return {{"key", key}, {"value", {{"intValue", std::to_string(*number)}}}};
    }
    return {{"key", key}, {"value", {{"boolValue", std::get<bool>(value)}}}};
}

std::string unix_nanoseconds(wall_time t)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::nanoseconds>(t.time_since_epoch()).count());
}

json to_json(const span& s)
{
    auto attributes = json::array();
    for (const auto& attribute : s.attributes) {
        attributes.push_back(to_json(attribute));
    }
    json out{{"traceId", trace_id_text(s.context)},
             {"spanId", span_id_text(s.context)},
             {"name", s.name},
             {"kind", static_cast<int>(s.kind)},
             {"startTimeUnixNano", unix_nanoseconds(s.start)},
             {"endTimeUnixNano", unix_nanoseconds(s.end)},
             {"attributes", std::move(attributes)},
             {"status", s.failed ? json{{"code", 2}} : json::object()}};
    if (s.parent) {
        trace_context parent;
        parent.span_id = *s.parent;
        out["parentSpanId"] = span_id_text(parent);
    }
    return out;
}

} // namespace

std::string otlp_json(const std::vector<span>& spans, const span_exporter_options& options)
{
    auto list = json::array();
    for (const auto& s : spans) {
        list.push_back(to_json(s));
    }
    json resource{{"attributes", json::array({text_attribute("service.name", options.service),
                                              text_attribute("service.instance.id", options.instance)})}};
    json scope_spans{{"scope", {{"name", "wagtailhatch"}}}, {"spans", std::move(list)}};
    json resource_spans{{"resource", std::move(resource)},
                        {"scopeSpans", json::array({std::move(scope_spans)})}};
    const json request{{"resourceSpans", json::array({std::move(resource_spans)})}};
    // Names may hold bytes of a request path that are not valid UTF-8; they are replaced.
    return request.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace wagtailhatch
