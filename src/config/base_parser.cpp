#include "include/config/config_documents.h"
#include "src/config/call_graph.h"
#include "src/config/field_reader.h"
#include "src/config/route_reader.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace wagtailhatch {
namespace {

using namespace std::chrono_literals;

bool valid_hash(std::string_view text)
{
    const auto allowed = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
    return text.size() == 64 && std::all_of(text.begin(), text.end(), allowed);
}

class base_parser {
public:
    base_parser(const std::string& file, std::vector<finding>& findings)
        : read_{file, findings}
    {
    }

    base_document parse(const yaml_tree& root)
    {
        if (!read_.check_fields(root, "the base file", {"data_centres", "services", "workspaces", "routes"},
                                {"limits"})) {
            return {};
        }
        parse_limits(root);
        visit_field(root, "data_centres", [&](const yaml_tree& node) { parse_data_centres(node); });
        visit_field(root, "services", [&](const yaml_tree& node) { parse_services(node); });
        visit_field(root, "workspaces", [&](const yaml_tree& node) { parse_workspaces(node); });
        visit_field(root, "routes", [&](const yaml_tree& node) { parse_routes(node); });
        return std::move(base_);
    }

private:
    template <typename Visit>
    void visit_field(const yaml_tree& node, std::string_view field, Visit visit)
    {
        if (const auto* value = node.find(field)) {
            visit(*value);
        }
    }

    void parse_limits(const yaml_tree& root)
    {
        visit_field(root, "limits", [&](const yaml_tree& node) {
            if (!read_.check_fields(node, "limits", {},
                                    {"max_header", "max_body", "header_timeout", "idle_timeout"})) {
                return;
            }
            auto& limits = base_.content.limits;
            const auto put_size = [&](std::string_view field, std::size_t& into) {
                visit_field(node, field, [&](const yaml_tree& value) {
                    into = read_.size(value, field, 256, std::uint64_t{1} << 30).value_or(into);
                });
            };
            const auto put_time = [&](std::string_view field, std::chrono::milliseconds& into) {
                visit_field(node, field, [&](const yaml_tree& value) {
                    into = read_.time(value, field, 100ms, 24h).value_or(into);
                });
            };
            put_size("max_header", limits.max_header_bytes);
            put_size("max_body", limits.max_body_bytes);
            put_time("header_timeout", limits.header_timeout);
            put_time("idle_timeout", limits.idle_timeout);
        });
    }

    void parse_data_centres(const yaml_tree& all)
    {
        read_.for_each_named(all, "data_centres", [&](const std::string& name, const yaml_entry& entry) {
            base_.content.data_centres[name].name = name;
            if (entry.value.kind != yaml_kind::null) {
                read_.check_fields(entry.value, "a data centre", {}, {});
            }
        });
        if (base_.content.data_centres.empty()) {
            read_.report(all, "'data_centres' defines no data centre", "add at least one");
        }
    }

    void parse_services(const yaml_tree& all)
    {
        call_graph graph;
        read_.for_each_named(all, "services", [&](const std::string& name, const yaml_entry& entry) {
            auto& service = base_.content.services[name];
            service.name = name;
            graph.positions[name] = {entry.key.line, entry.key.column};
            if (entry.value.kind == yaml_kind::null ||
                !read_.check_fields(entry.value, "a service", {},
                                    {"calls", "slots", "connections", "cold_duration", "cold_rate"})) {
                return;
            }
            visit_field(entry.value, "slots", [&](const yaml_tree& node) {
                service.slots =
                    static_cast<std::uint32_t>(read_.integer(node, "slots", 0, 1'000'000).value_or(0));
            });
            visit_field(entry.value, "connections", [&](const yaml_tree& node) {
                service.connections =
                    static_cast<std::uint32_t>(read_.integer(node, "connections", 0, 1'000'000).value_or(0));
            });
            visit_field(entry.value, "cold_duration", [&](const yaml_tree& node) {
                service.cold_duration = read_.time(node, "cold_duration", 0ms, 24h).value_or(0ms);
            });
            visit_field(entry.value, "cold_rate", [&](const yaml_tree& node) {
                service.cold_rate = read_.decimal(node, "cold_rate", 0, 1e6).value_or(0);
            });
            visit_field(entry.value, "calls", [&](const yaml_tree& node) {
                read_.for_each_item(node, "calls", [&](const yaml_tree& item) {
                    if (auto callee = read_.name(item, "a called service")) {
                        graph.calls[name].push_back({*callee, item.line, item.column});
                        service.calls.push_back(std::move(*callee));
                    }
                });
            });
        });
        if (base_.content.services.empty()) {
            read_.report(all, "'services' defines no service", "add at least one");
        }
        check_call_graph(graph, max_call_depth,
                         [&](const source_position& at, std::string problem, std::string remedy) {
                             yaml_tree position;
                             position.line = at.line;
                             position.column = at.column;
                             read_.report(position, std::move(problem), std::move(remedy));
                         });
    }

    void parse_workspaces(const yaml_tree& all)
    {
        read_.for_each_named(all, "workspaces", [&](const std::string& name, const yaml_entry& entry) {
            auto& workspace = base_.content.workspaces[name];
            workspace.name = name;
            if (!read_.check_fields(entry.value, "a workspace", {"rate", "burst"},
                                    {"importance", "keys", "allowed_regions"})) {
                return;
            }
            visit_field(entry.value, "rate", [&](const yaml_tree& node) {
                workspace.rate = read_.decimal(node, "rate", 0.001, 1e7).value_or(0);
            });
            visit_field(entry.value, "burst", [&](const yaml_tree& node) {
                workspace.burst = read_.decimal(node, "burst", 1, 1e7).value_or(0);
            });
            visit_field(entry.value, "importance",
                        [&](const yaml_tree& node) { workspace.level = read_importance(read_, node); });
            visit_field(entry.value, "allowed_regions", [&](const yaml_tree& node) {
                workspace.regions = read_allowed_regions(read_, node);
            });
            visit_field(entry.value, "keys", [&](const yaml_tree& node) {
                read_.for_each_item(node, "keys", [&](const yaml_tree& item) { parse_key(workspace, item); });
            });
        });
    }

    void parse_key(workspace_config& workspace, const yaml_tree& item)
    {
        if (!read_.check_fields(item, "a key", {"sha256"}, {"withdrawn"})) {
            return;
        }
        key_config key;
        visit_field(item, "withdrawn", [&](const yaml_tree& node) {
            key.withdrawn = read_.boolean(node, "withdrawn").value_or(false);
        });
        const auto* hash = item.find("sha256");
        const auto text = hash == nullptr ? std::nullopt : read_.text(*hash, "sha256");
        if (!text) {
            return;
        }
        if (!valid_hash(*text)) {
            read_.report(*hash, "'sha256' is not a SHA-256 hash",
                         "write 64 lower-case hexadecimal digits, as `whctl key issue` does");
            return;
        }
        const auto [first, added] = key_owners_.try_emplace(*text, workspace.name);
        if (!added) {
            read_.report(*hash, fmt::format("the key is already listed for workspace '{}'", first->second),
                         "list each key once; issue another key");
            return;
        }
        key.sha256 = *text;
        workspace.keys.push_back(std::move(key));
    }

    void parse_routes(const yaml_tree& all)
    {
        using match_key = std::tuple<std::string, std::string, std::string>;
        std::map<match_key, std::string> routes_by_match;
        read_.for_each_named(all, "routes", [&](const std::string& name, const yaml_entry& entry) {
            const auto route = read_route(read_, name, entry.value);
            for (const auto& part : route.services) {
                if (base_.content.services.count(part.service) == 0) {
                    const auto* single = entry.value.find("service");
                    const auto* several = entry.value.find("services");
                    read_.report(single != nullptr ? *single : *several,
                                 fmt::format("'{}' is not a service", part.service),
                                 "use a name from 'services'");
                }
            }
            if (!route.path_prefix.empty()) {
                const auto [first, added] =
                    routes_by_match.try_emplace({route.host, route.method, route.path_prefix}, name);
                if (!added) {
                    read_.report(entry.key,
                                 fmt::format("route '{}' has the same host, method and path as route '{}'",
                                             name, first->second),
                                 "change one of them, or remove one of the routes");
                }
            }
            base_.content.routes.push_back(route);
        });
    }

    field_reader read_;
    base_document base_;
    std::map<std::string, std::string> key_owners_;
};

} // namespace

parsed<base_document> parse_base(const std::string& file, std::string_view text)
{
    parsed<base_document> output;
    if (const auto tree = read_yaml(file, text, max_document_size, output.findings)) {
        auto base = base_parser{file, output.findings}.parse(*tree);
        if (output.findings.empty()) {
            output.value = std::move(base);
        }
    }
    return output;
}

} // namespace wagtailhatch
