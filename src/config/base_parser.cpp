#include "include/config/config_documents.h"
#include "src/config/call_graph.h"
#include "src/config/field_reader.h"
#include "src/config/route_reader.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <map>
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
        if (!read_.check_fields(
                root, "the base file", {"data_centres", "services", "workspaces", "routes"},
                {"made_on", "slots_per_data_centre", "retry_tokens", "run_once_memory", "max_staleness"})) {
            return {};
        }
        parse_limits(root);
        with(root, "data_centres", [&](const yaml_tree& node) { parse_data_centres(node); });
        with(root, "services", [&](const yaml_tree& node) { parse_services(node); });
        with(root, "workspaces", [&](const yaml_tree& node) { parse_workspaces(node); });
        with(root, "routes", [&](const yaml_tree& node) { parse_routes(node); });
        return std::move(base_);
    }

private:
    template <typename Visit>
    void with(const yaml_tree& node, std::string_view field, Visit visit)
    {
        if (const auto* value = node.find(field)) {
            visit(*value);
        }
    }

    void parse_limits(const yaml_tree& root)
    {
        auto& c = base_.content;
        base_.made_on = read_.made_on(root);
        with(root, "slots_per_data_centre", [&](const yaml_tree& node) {
            c.slots_per_data_centre =
                static_cast<std::uint32_t>(read_.integer(node, "slots_per_data_centre", 1, 1024).value_or(8));
        });
        with(root, "retry_tokens", [&](const yaml_tree& node) {
            c.retry_tokens =
                static_cast<std::uint32_t>(read_.integer(node, "retry_tokens", 0, 16).value_or(1));
        });
        const auto put_time = [&](std::string_view field, std::chrono::seconds& into,
                                  std::chrono::seconds least, std::chrono::seconds most) {
            with(root, field, [&](const yaml_tree& node) {
                const auto time = read_.time(node, field, least, most);
                if (time && *time % 1s != 0ms) {
                    read_.report(node, fmt::format("'{}' is not a whole number of seconds", field),
                                 "write whole seconds");
                }
                into = std::chrono::duration_cast<std::chrono::seconds>(time.value_or(into));
            });
        };
        put_time("run_once_memory", c.run_once_memory, 1s, 7 * 24h);
        put_time("max_staleness", c.max_staleness, 0s, 24h);
    }

    void parse_data_centres(const yaml_tree& all)
    {
        double sum = 0;
        read_.each_named(all, "data_centres", [&](const std::string& name, const yaml_entry& entry) {
            auto& dc = base_.content.data_centres[name];
            dc.name = name;
            if (entry.value.kind != yaml_kind::null &&
                read_.check_fields(entry.value, "a data centre", {}, {"weight", "lost"})) {
                with(entry.value, "weight", [&](const yaml_tree& node) {
                    dc.weight = read_.decimal(node, "weight", 0, 1e6).value_or(1);
                });
                with(entry.value, "lost",
                     [&](const yaml_tree& node) { dc.lost = read_.boolean(node, "lost").value_or(false); });
            }
            sum += dc.weight;
        });
        if (base_.content.data_centres.empty()) {
            read_.report(all, "'data_centres' names no data centre", "add at least one");
        }
        else if (sum <= 0) {
            read_.report(all, "every data centre has weight 0, so that no request is ever admitted",
                         "give at least one data centre a weight above 0");
        }
    }

    void parse_services(const yaml_tree& all)
    {
        call_graph graph;
        read_.each_named(all, "services", [&](const std::string& name, const yaml_entry& entry) {
            auto& service = base_.content.services[name];
            service.name = name;
            graph.places[name] = {entry.key.line, entry.key.column};
            if (entry.value.kind == yaml_kind::null ||
                !read_.check_fields(entry.value, "a service", {}, {"calls", "slots", "connections"})) {
                return;
            }
            with(entry.value, "slots", [&](const yaml_tree& node) {
                service.slots =
                    static_cast<std::uint32_t>(read_.integer(node, "slots", 0, 1'000'000).value_or(0));
            });
            with(entry.value, "connections", [&](const yaml_tree& node) {
                service.connections =
                    static_cast<std::uint32_t>(read_.integer(node, "connections", 0, 1'000'000).value_or(0));
            });
            with(entry.value, "calls", [&](const yaml_tree& node) {
                read_.each_item(node, "calls", [&](const yaml_tree& item) {
                    if (auto callee = read_.name(item, "a called service")) {
                        graph.calls[name].push_back({*callee, item.line, item.column});
                        service.calls.push_back(std::move(*callee));
                    }
                });
            });
        });
        if (base_.content.services.empty()) {
            read_.report(all, "'services' names no service", "add at least one");
        }
        check_call_graph(graph, max_call_depth,
                         [&](const call_place& at, std::string problem, std::string remedy) {
                             yaml_tree place;
                             place.line = at.line;
                             place.column = at.column;
                             read_.report(place, std::move(problem), std::move(remedy));
                         });
    }

    void parse_workspaces(const yaml_tree& all)
    {
        read_.each_named(all, "workspaces", [&](const std::string& name, const yaml_entry& entry) {
            auto& workspace = base_.content.workspaces[name];
            workspace.name = name;
            if (!read_.check_fields(entry.value, "a workspace", {"rate", "burst"}, {"home", "keys"})) {
                return;
            }
            with(entry.value, "rate", [&](const yaml_tree& node) {
                workspace.rate = read_.decimal(node, "rate", 0.001, 1e7).value_or(0);
            });
            with(entry.value, "burst", [&](const yaml_tree& node) { parse_burst(workspace, node); });
            with(entry.value, "home", [&](const yaml_tree& node) {
                workspace.home = read_.name(node, "home").value_or("");
                if (!workspace.home.empty() && base_.content.data_centres.count(workspace.home) == 0) {
                    read_.report(node, fmt::format("'{}' is not a data centre", workspace.home),
                                 "name one of 'data_centres'");
                }
            });
            with(entry.value, "keys", [&](const yaml_tree& node) {
                read_.each_item(node, "keys", [&](const yaml_tree& item) { parse_key(workspace, item); });
            });
        });
    }

    /// A data centre whose share of the burst is below one could never admit a whole request.
    void parse_burst(workspace_config& workspace, const yaml_tree& node)
    {
        const auto burst = read_.decimal(node, "burst", 1, 1e7);
        workspace.burst = burst.value_or(0);
        double sum = 0;
        double least = 0;
        for (const auto& [name, dc] : base_.content.data_centres) {
            sum += dc.weight;
            least = dc.weight > 0 && (least == 0 || dc.weight < least) ? dc.weight : least;
        }
        if (burst && least > 0 && *burst * least / sum < 1) {
            read_.report(node, "the burst gives the data centre of the lowest weight less than one request",
                         fmt::format("write at least {:.0f}", std::ceil(sum / least)));
        }
    }

    void parse_key(workspace_config& workspace, const yaml_tree& item)
    {
        if (!read_.check_fields(item, "a key", {"sha256"}, {"withdrawn"})) {
            return;
        }
        key_config key;
        with(item, "withdrawn", [&](const yaml_tree& node) {
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
        std::map<std::pair<std::string, std::string>, std::string> taken;
        read_.each_named(all, "routes", [&](const std::string& name, const yaml_entry& entry) {
            const auto route = read_route(read_, name, entry.value);
            const auto* service = entry.value.find("service");
            if (service != nullptr && !route.service.empty() &&
                base_.content.services.count(route.service) == 0) {
                read_.report(*service, fmt::format("'{}' is not a service", route.service),
                             "name one of 'services'");
            }
            if (!route.path_prefix.empty()) {
                const auto [first, added] = taken.try_emplace({route.method, route.path_prefix}, name);
                if (!added) {
                    read_.report(
                        entry.key,
                        fmt::format("route '{}' has the method and path of route '{}'", name, first->second),
                        "change the path or the method, or keep one of them");
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
    parsed<base_document> answer;
    if (const auto tree = read_yaml(file, text, max_document_size, answer.findings)) {
        auto base = base_parser{file, answer.findings}.parse(*tree);
        if (answer.findings.empty()) {
            answer.value = std::move(base);
        }
    }
    return answer;
}

} // namespace wagtailhatch
