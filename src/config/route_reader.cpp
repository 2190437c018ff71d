#include "src/config/route_reader.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace wagtailhatch {
namespace {

using namespace std::chrono_literals;

constexpr std::array<std::string_view, 7> methods{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};
constexpr std::array<std::string_view, 4> unsafe_methods{"POST", "PUT", "PATCH", "DELETE"};
constexpr std::array<std::string_view, 5> idempotent_methods{"GET", "HEAD", "PUT", "DELETE", "OPTIONS"};
constexpr std::size_t max_path_size = 1024; ///< Bytes.
constexpr auto max_route_timeout = 100s;    ///< Below the response timeout of the HTTP server.
constexpr std::uint64_t max_attempts = 16;

template <std::size_t N>
bool is_one_of(const std::array<std::string_view, N>& all, std::string_view value)
{
    return std::find(all.begin(), all.end(), value) != all.end();
}

/// Accepts only canonical paths, because requests are matched by their canonical path.
bool valid_prefix(std::string_view path)
{
    if (path == "/") {
        return true;
    }
    const auto allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' ||
               c == '_' || c == '~' || c == '-' || c == '/';
    };
    if (path.empty() || path.size() > max_path_size || path.front() != '/' || path.back() == '/' ||
        !std::all_of(path.begin(), path.end(), allowed)) {
        return false;
    }
    std::string closed{path};
    closed += '/';
    return closed.find("//") == closed.npos && closed.find("/./") == closed.npos &&
           closed.find("/../") == closed.npos;
}

void read_match_conditions(field_reader& read, const yaml_tree& node, route_config& route)
{
    if (const auto* path = node.find("path")) {
        if (auto text = read.text(*path, "path")) {
            if (valid_prefix(*text)) {
                route.path_prefix = std::move(*text);
            }
            else {
                read.report(
                    *path, fmt::format("'{}' is not valid for 'path'", *text),
                    "write segments of letters, digits and . _ ~ - that each begin with '/', without a "
                    "trailing '/', for example /labels/search");
            }
        }
    }
    if (const auto* method = node.find("method")) {
        if (auto text = read.text(*method, "method")) {
            if (is_one_of(methods, *text)) {
                route.method = std::move(*text);
            }
            else {
                read.report(
                    *method, fmt::format("'{}' is not valid for 'method'", *text),
                    fmt::format("write one of {}, or leave it out for any", fmt::join(methods, ", ")));
            }
        }
    }
    if (const auto* host = node.find("host")) {
        route.host = read.text(*host, "host").value_or("");
    }
}

void read_services(field_reader& read, const yaml_tree& node, route_config& route)
{
    const auto* single = node.find("service");
    const auto* several = node.find("services");
    if ((single != nullptr) == (several != nullptr)) {
        read.report(node, "a route has either 'service' or 'services'", "write one of them");
        return;
    }
    if (single != nullptr) {
        if (auto name = read.name(*single, "a service")) {
            route.services.push_back({std::move(*name), 1});
        }
        return;
    }
    read.for_each_named(*several, "services", [&](const std::string& name, const yaml_entry& entry) {
        constexpr double max_weight = 1e6;
        route.services.push_back({name, read.decimal(entry.value, "a weight", 0, max_weight).value_or(1)});
    });
    if (route.services.empty()) {
        read.report(*several, "'services' lists no service", "add at least one with its weight");
    }
}

void check_run_once(field_reader& read, const yaml_tree& node, const route_config& route)
{
    const auto& position = *node.find("run_once");
    if (!is_one_of(unsafe_methods, route.method)) {
        read.report(position,
                    fmt::format("a run-once route cannot have the method {}",
                                route.method.empty() ? "any" : route.method),
                    fmt::format("write one of {} as 'method'", fmt::join(unsafe_methods, ", ")));
    }
    if (node.find("idempotent") != nullptr && route.idempotent) {
        read.report(position, "a run-once route cannot be idempotent", "remove 'idempotent' or 'run_once'");
    }
}

void read_options(field_reader& read, const yaml_tree& node, route_config& route)
{
    const auto put_flag = [&](std::string_view field, bool& into) {
        if (const auto* value = node.find(field)) {
            into = read.boolean(*value, field).value_or(into);
        }
    };
    route.idempotent = is_one_of(idempotent_methods, route.method);
    put_flag("open", route.open);
    put_flag("streaming", route.streaming);
    put_flag("idempotent", route.idempotent);
    bool run_once = false;
    put_flag("run_once", run_once);
    if (run_once) {
        check_run_once(read, node, route);
        route.idempotent = false;
    }
    if (const auto* timeout = node.find("timeout")) {
        route.timeout = read.time(*timeout, "timeout", 1ms, max_route_timeout).value_or(route.timeout);
    }
    route.target_latency = route.timeout;
    if (const auto* latency = node.find("target_latency")) {
        route.target_latency =
            read.time(*latency, "target_latency", 1ms, max_route_timeout).value_or(route.target_latency);
    }
    if (const auto* attempts = node.find("max_attempts")) {
        route.max_attempts = static_cast<std::uint32_t>(
            read.integer(*attempts, "max_attempts", 1, max_attempts).value_or(route.max_attempts));
    }
}

} // namespace

std::optional<importance> read_importance(field_reader& read, const yaml_tree& node)
{
    const auto text = read.text(node, "importance");
    if (!text) {
        return std::nullopt;
    }
    const auto value = parse_importance(*text);
    if (!value) {
        read.report(node, fmt::format("'{}' is not valid for 'importance'", *text),
                    fmt::format("write one of {}", fmt::join(operator_importance_names, ", ")));
    }
    return value;
}

allowed_regions read_allowed_regions(field_reader& read, const yaml_tree& node)
{
    if (node.kind == yaml_kind::null) {
        return std::nullopt;
    }
    allowed_regions regions{std::in_place};
    read.for_each_item(node, "allowed_regions", [&](const yaml_tree& item) {
        if (auto name = read.name(item, "a region")) {
            regions->insert(std::move(*name));
        }
    });
    return regions;
}

route_config read_route(field_reader& read, const std::string& name, const yaml_tree& node)
{
    route_config route;
    route.name = name;
    if (read.check_fields(node, "a route", {"path"},
                          {"host", "service", "services", "method", "importance", "open", "run_once",
                           "idempotent", "streaming", "timeout", "target_latency", "max_attempts",
                           "allowed_regions"})) {
        read_match_conditions(read, node, route);
        read_services(read, node, route);
        if (const auto* level = node.find("importance")) {
            route.level = read_importance(read, *level).value_or(route.level);
        }
        read_options(read, node, route);
        if (const auto* regions = node.find("allowed_regions")) {
            route.regions = read_allowed_regions(read, *regions);
        }
    }
    return route;
}

} // namespace wagtailhatch
