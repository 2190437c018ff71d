#include "include/config/node_settings.h"

#include "src/config/field_reader.h"
#include "src/core/socket_address.h"

#include <fmt/format.h>

#include <fstream>
#include <iterator>
#include <utility>

namespace wagtailhatch {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t max_settings_size = std::size_t{64} * 1024; ///< Bytes.
constexpr auto max_duration = 1h;
// File descriptors sufficient for the listeners, the store and a few connections.
constexpr std::size_t min_fd_limit = 64;
constexpr std::size_t max_fd_limit = 1'000'000;
constexpr std::size_t min_memory_mb = 64;
constexpr std::size_t max_memory_mb = 1'000'000;
constexpr std::size_t bytes_per_megabyte = 1'000'000;

class settings_reader {
public:
    settings_reader(const std::string& file, std::vector<finding>& findings)
        : read_{file, findings}
    {
    }

    node_settings read(const yaml_tree& root)
    {
        if (!read_.check_fields(root, "the settings file",
                                {"instance", "data_centre", "service", "target", "store"},
                                {"callers", "peers", "readiness", "control", "metrics", "seeds", "log_level",
                                 "max_descriptors", "memory_limit_mb", "regions", "bounds"})) {
            return {};
        }
        read_names(root);
        read_addresses(root);
        read_level(root);
        if (const auto* memory = root.find("memory_limit_mb")) {
            settings_.memory_limit =
                read_.integer(*memory, "memory_limit_mb", min_memory_mb, max_memory_mb).value_or(0) *
                bytes_per_megabyte;
        }
        if (const auto* descriptors = root.find("max_descriptors")) {
            settings_.max_descriptors =
                read_.integer(*descriptors, "max_descriptors", min_fd_limit, max_fd_limit).value_or(0);
        }
        if (const auto* regions = root.find("regions")) {
            read_.for_each_named(*regions, "regions", [&](const std::string& name, const yaml_entry& entry) {
                if (auto region = read_.name(entry.value, "a region")) {
                    settings_.regions[name] = std::move(*region);
                }
            });
        }
        if (const auto* bounds = root.find("bounds")) {
            read_bounds(*bounds);
        }
        return std::move(settings_);
    }

private:
    void read_names(const yaml_tree& root)
    {
        const auto put = [&](std::string_view field, std::string& into) {
            if (const auto* node = root.find(field)) {
                into = read_.name(*node, field).value_or("");
            }
        };
        put("instance", settings_.instance);
        put("data_centre", settings_.data_centre);
        put("service", settings_.service);
    }

    std::string address(const yaml_tree& node, std::string_view field, bool port_needed)
    {
        const auto text = read_.text(node, field);
        if (!text) {
            return {};
        }
        const auto endpoint = parse_address(*text);
        if (!endpoint || (port_needed && endpoint->port() == 0)) {
            read_.report(node, fmt::format("'{}' is not valid for '{}'", *text, field),
                         "write an IP address and a port, for example 127.0.0.1:8080");
        }
        return *text;
    }

    void read_addresses(const yaml_tree& root)
    {
        const auto put = [&](std::string_view field, std::string& into, bool port_needed) {
            if (const auto* node = root.find(field)) {
                into = address(*node, field, port_needed);
            }
        };
        put("callers", settings_.callers, false);
        put("peers", settings_.peers, true);
        put("readiness", settings_.readiness, false);
        put("control", settings_.control, false);
        put("metrics", settings_.metrics, false);
        put("target", settings_.target, true);
        put("store", settings_.store, true);
        if (const auto* seeds = root.find("seeds")) {
            read_.for_each_item(*seeds, "seeds", [&](const yaml_tree& item) {
                settings_.seeds.push_back(address(item, "a seed", true));
            });
        }
    }

    void read_level(const yaml_tree& root)
    {
        const auto* node = root.find("log_level");
        const auto text = node == nullptr ? std::nullopt : read_.text(*node, "log_level");
        if (!text) {
            return;
        }
        if (const auto level = parse_log_level(*text)) {
            settings_.level = *level;
            return;
        }
        read_.report(*node, fmt::format("'{}' is not valid for 'log_level'", *text),
                     fmt::format("write one of {}", fmt::join(log_level_names, ", ")));
    }

    void read_bounds(const yaml_tree& node)
    {
        if (!read_.check_fields(node, "bounds", {},
                                {"retry_ratio", "retry_slack", "retry_window", "rate_overage", "leave_time",
                                 "stop_time", "announce_interval", "cold_overage", "cold_slack",
                                 "evacuate_time"})) {
            return;
        }
        auto& b = settings_.bounds;
        const auto put_number = [&](std::string_view field, double& into, double max_allowed) {
            if (const auto* value = node.find(field)) {
                into = read_.decimal(*value, field, 0, max_allowed).value_or(into);
            }
        };
        const auto put_time = [&](std::string_view field, std::chrono::milliseconds& into) {
            if (const auto* value = node.find(field)) {
                into = read_.time(*value, field, 10ms, max_duration).value_or(into);
            }
        };
        put_number("retry_ratio", b.retry_ratio, 10);
        put_number("retry_slack", b.retry_slack, 1e6);
        put_number("rate_overage", b.rate_overage, 10);
        put_number("cold_overage", b.cold_overage, 100);
        put_number("cold_slack", b.cold_slack, 1e6);
        put_time("retry_window", b.retry_window);
        put_time("leave_time", b.leave_time);
        put_time("stop_time", b.stop_time);
        put_time("announce_interval", b.announce_interval);
        put_time("evacuate_time", b.evacuate_time);
    }

    field_reader read_;
    node_settings settings_;
};

} // namespace

std::string_view node_settings::region_of(std::string_view name) const
{
    const auto found = regions.find(std::string{name});
    return found == regions.end() ? std::string_view{} : std::string_view{found->second};
}

parsed<node_settings> parse_node_settings(const std::string& file, std::string_view text)
{
    parsed<node_settings> output;
    if (const auto tree = read_yaml(file, text, max_settings_size, output.findings)) {
        auto settings = settings_reader{file, output.findings}.read(*tree);
        if (output.findings.empty()) {
            output.value = std::move(settings);
        }
    }
    return output;
}

parsed<node_settings> load_node_settings(const std::string& file)
{
    std::ifstream in{file, std::ios::binary};
    if (!in) {
        return {std::nullopt, {{file, 0, 0, "the settings file cannot be read", "check its path"}}};
    }
    return parse_node_settings(file, std::string{std::istreambuf_iterator<char>{in}, {}});
}

} // namespace wagtailhatch
