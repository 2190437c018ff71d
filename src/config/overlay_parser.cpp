#include "include/config/config_documents.h"
#include "src/config/field_reader.h"

#include <fmt/format.h>

#include <utility>

namespace wagtailhatch {
namespace {

using namespace std::chrono_literals;

class overlay_parser {
public:
    overlay_parser(const std::string& file, std::vector<finding>& findings)
        : read_{file, findings}
    {
        overlay_.file = file;
    }

    overlay_document parse(const yaml_tree& root)
    {
        if (!read_.check_fields(root, "the overlay", {"data_centre"}, {"services", "routes"})) {
            return {};
        }
        if (const auto* node = root.find("data_centre")) {
            overlay_.data_centre = read_.name(*node, "data_centre").value_or("");
            overlay_.line = node->line;
            overlay_.column = node->column;
        }
        if (const auto* node = root.find("services")) {
            parse_services(*node);
        }
        if (const auto* node = root.find("routes")) {
            parse_routes(*node);
        }
        return std::move(overlay_);
    }

private:
    void parse_services(const yaml_tree& all)
    {
        read_.for_each_named(all, "services", [&](const std::string& name, const yaml_entry& entry) {
            auto& service = overlay_.services[name];
            service.line = entry.key.line;
            service.column = entry.key.column;
            if (!read_.check_fields(entry.value, "a service of an overlay", {}, {"slots", "connections"})) {
                return;
            }
            const auto put = [&](std::string_view field, std::optional<std::uint32_t>& into) {
                const auto* node = entry.value.find(field);
                const auto number =
                    node == nullptr ? std::nullopt : read_.integer(*node, field, 0, 1'000'000);
                if (number) {
                    into = static_cast<std::uint32_t>(*number);
                }
            };
            put("slots", service.slots);
            put("connections", service.connections);
        });
    }

    void parse_routes(const yaml_tree& all)
    {
        read_.for_each_named(all, "routes", [&](const std::string& name, const yaml_entry& entry) {
            auto& route = overlay_.routes[name];
            route.line = entry.key.line;
            route.column = entry.key.column;
            if (!read_.check_fields(entry.value, "a route of an overlay", {}, {"timeout"})) {
                return;
            }
            if (const auto* node = entry.value.find("timeout")) {
                route.timeout = read_.time(*node, "timeout", 1ms, 100s);
            }
        });
    }

    field_reader read_;
    overlay_document overlay_;
};

} // namespace

parsed<overlay_document> parse_overlay(const std::string& file, std::string_view text)
{
    parsed<overlay_document> output;
    if (const auto tree = read_yaml(file, text, max_document_size, output.findings)) {
        auto overlay = overlay_parser{file, output.findings}.parse(*tree);
        if (output.findings.empty()) {
            output.value = std::move(overlay);
        }
    }
    return output;
}

} // namespace wagtailhatch
