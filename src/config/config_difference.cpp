#include "include/config/config_difference.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <utility>

namespace wagtailhatch {
namespace {

/// A field's text, and what a change of it means for callers.
struct compared_field {
    std::string text;
    std::optional<double> worth{};            ///< A lower one takes something from callers.
    const allowed_regions* regions = nullptr; ///< Removal of one takes something from callers.
    bool matches_requests = false;            ///< Any change takes the former requests from callers.
};

using compared_fields = std::map<std::string, compared_field>;
/// Fields of the entries, by place.
using compared_entries = std::map<std::string, compared_fields>;

compared_field ranked_field(double value)
{
    return {fmt::format("{}", value), value};
}

compared_field plain_field(std::string text)
{
    return {std::move(text)};
}

compared_field matching_field(std::string text)
{
    return {std::move(text), std::nullopt, nullptr, true};
}

compared_field flag_field(bool value)
{
    return {value ? "true" : "false", value ? 1.0 : 0.0};
}

compared_field time_field(std::chrono::milliseconds time)
{
    return {fmt::format("{} ms", time.count()), static_cast<double>(time.count())};
}

compared_field importance_field(importance level)
{
    return {std::string{to_string(level)}, -static_cast<double>(level)};
}

compared_field regions_field(const allowed_regions& regions)
{
    if (!regions) {
        return {"any", std::nullopt, &regions};
    }
    std::string text;
    for (const auto& region : *regions) {
        text += (text.empty() ? "" : ", ") + region;
    }
    return {text.empty() ? "none" : text, std::nullopt, &regions};
}

compared_fields fields_of(const route_config& route)
{
    std::string services;
    for (const auto& part : route.services) {
        services += fmt::format("{}{}:{}", services.empty() ? "" : ", ", part.service, part.weight);
    }
    return {{"host", matching_field(route.host.empty() ? "any" : route.host)},
            {"method", matching_field(route.method.empty() ? "any" : route.method)},
            {"prefix", matching_field(route.path_prefix)},
            {"services", plain_field(services)},
            {"importance", importance_field(route.level)},
            {"open", flag_field(route.open)},
            {"idempotent", plain_field(route.idempotent ? "true" : "false")},
            {"streaming", plain_field(route.streaming ? "true" : "false")},
            {"max_attempts", ranked_field(route.max_attempts)},
            {"timeout", time_field(route.timeout)},
            {"target_latency", plain_field(time_field(route.target_latency).text)},
            {"allowed_regions", regions_field(route.regions)}};
}

compared_fields fields_of(const workspace_config& workspace)
{
    const auto unlimited = std::numeric_limits<double>::infinity();
    const bool limited = workspace.rate > 0;
    compared_fields fields{
        {"rate", limited ? ranked_field(workspace.rate) : compared_field{"no limit", unlimited}},
        {"burst", limited ? ranked_field(workspace.burst) : compared_field{"no limit", unlimited}},
        {"importance", importance_field(workspace.level.value_or(importance::critical))},
        {"allowed_regions", regions_field(workspace.regions)}};
    for (const auto& key : workspace.keys) {
        constexpr std::size_t shown_digits = 16;
        const auto name = fmt::format("key {}", key.sha256.substr(0, shown_digits));
        fields[name] = {key.withdrawn ? "withdrawn" : "valid", key.withdrawn ? 0.0 : 1.0};
    }
    return fields;
}

compared_fields fields_of(const service_config& service)
{
    std::string calls;
    for (const auto& call : service.calls) {
        calls += (calls.empty() ? "" : ", ") + call;
    }
    return {{"calls", plain_field(calls)},
            {"slots", plain_field(fmt::format("{}", service.slots))},
            {"connections", plain_field(fmt::format("{}", service.connections))},
            {"health_path", plain_field(service.health_path)},
            {"cold_duration", plain_field(time_field(service.cold_duration).text)},
            {"cold_rate", plain_field(fmt::format("{}", service.cold_rate))}};
}

compared_fields fields_of(const caller_limits& limits)
{
    return {
        {"max_header",
         {fmt::format("{}", limits.max_header_bytes), static_cast<double>(limits.max_header_bytes)}},
        {"max_body", {fmt::format("{}", limits.max_body_bytes), static_cast<double>(limits.max_body_bytes)}},
        {"header_timeout", time_field(limits.header_timeout)},
        {"idle_timeout", time_field(limits.idle_timeout)}};
}

compared_entries entries_of(const configuration& config)
{
    compared_entries entries;
    entries["limits"] = fields_of(config.limits);
    std::map<std::string_view, std::size_t> uses;
    for (const auto& route : config.routes) {
        // The operators' document may use a name for several routes.
        const auto use = ++uses[route.name];
        const auto suffix = use == 1 ? std::string{} : fmt::format(" #{}", use);
        entries[fmt::format("route '{}'{}", route.name, suffix)] = fields_of(route);
    }
    for (const auto& [name, workspace] : config.workspaces) {
        entries[fmt::format("workspace '{}'", name)] = fields_of(workspace);
    }
    for (const auto& [name, service] : config.services) {
        entries[fmt::format("service '{}'", name)] = fields_of(service);
    }
    for (const auto& [name, data_centre] : config.data_centres) {
        entries[fmt::format("data centre '{}'", name)] = {};
    }
    return entries;
}

bool narrows(const allowed_regions& before, const allowed_regions& after)
{
    return after && (!before || !std::includes(after->begin(), after->end(), before->begin(), before->end()));
}

bool takes_from_callers(const compared_field& before, const compared_field& after)
{
    if (before.regions != nullptr && after.regions != nullptr) {
        return narrows(*before.regions, *after.regions);
    }
    return before.matches_requests || (before.worth && after.worth && *after.worth < *before.worth);
}

/// Keys are the only fields that one of two entries may lack; an absent key is worth as much as a withdrawn
/// one.
void compare_fields(const std::string& place, const compared_fields& before, const compared_fields& after,
                    std::vector<config_difference>& differences)
{
    static const compared_field absent{"", 0.0};
    const auto compare = [&](const std::string& name, const compared_field& a, const compared_field& b) {
        if (a.text != b.text) {
            differences.push_back({place, name, a.text, b.text, takes_from_callers(a, b)});
        }
    };
    for (const auto& [name, field] : before) {
        const auto found = after.find(name);
        compare(name, field, found == after.end() ? absent : found->second);
    }
    for (const auto& [name, field] : after) {
        if (before.count(name) == 0) {
            compare(name, absent, field);
        }
    }
}

} // namespace

std::vector<config_difference> compare_configurations(const configuration& in_force,
                                                      const configuration& proposed)
{
    std::vector<config_difference> differences;
    const auto before = entries_of(in_force);
    const auto after = entries_of(proposed);
    for (const auto& [place, fields] : before) {
        if (const auto found = after.find(place); found != after.end()) {
            compare_fields(place, fields, found->second, differences);
        }
        else {
            differences.push_back({place, "", "present", "", true});
        }
    }
    for (const auto& [place, fields] : after) {
        if (before.count(place) == 0) {
            differences.push_back({place, "", "", "present", false});
        }
    }
    std::stable_partition(differences.begin(), differences.end(),
                          [](const config_difference& d) { return d.takes_from_callers; });
    return differences;
}

std::string to_string(const config_difference& difference)
{
    const auto shown = [](const std::string& text) { return text.empty() ? std::string{"absent"} : text; };
    const auto field = difference.field.empty() ? std::string{} : difference.field + ": ";
    return fmt::format("{}: {}{} -> {}", difference.place, field, shown(difference.before),
                       shown(difference.after));
}

} // namespace wagtailhatch
