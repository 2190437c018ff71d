#include "include/config/config_documents.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace wagtailhatch {
namespace {

bool is_overlay_name(std::string_view name)
{
    return name.substr(0, overlay_document_prefix.size()) == overlay_document_prefix;
}

void append(std::vector<finding>& all, std::vector<finding> more)
{
    all.insert(all.end(), std::make_move_iterator(more.begin()), std::make_move_iterator(more.end()));
}

/// Validates one overlay. Its references are checked only if base is given, that is, if the base file is
/// valid.
std::vector<finding> check_overlay_document(const named_document& document, const base_document* base)
{
    auto overlay = parse_overlay(document.file, document.text);
    if (!overlay) {
        return std::move(overlay.findings);
    }
    const auto wanted = document.name.substr(overlay_document_prefix.size());
    if (overlay.value->data_centre != wanted) {
        return {{document.file, overlay.value->line, overlay.value->column,
                 fmt::format("the overlay is for '{}'", overlay.value->data_centre),
                 fmt::format("accept it for that data centre, or change 'data_centre' to '{}'", wanted)}};
    }
    return base == nullptr ? std::vector<finding>{} : check_overlay(*base, *overlay.value);
}

} // namespace

std::vector<finding> check_overlay(const base_document& base, const overlay_document& overlay)
{
    std::vector<finding> findings;
    const auto& content = base.content;
    if (content.data_centres.count(overlay.data_centre) == 0) {
        findings.push_back({overlay.file, overlay.line, overlay.column,
                            fmt::format("'{}' is not a data centre of the base file", overlay.data_centre),
                            "use a name from its 'data_centres'"});
    }
    for (const auto& [name, service] : overlay.services) {
        if (content.services.count(name) == 0) {
            findings.push_back({overlay.file, service.line, service.column,
                                fmt::format("'{}' is not a service of the base file", name),
                                "use a name from its 'services'"});
        }
    }
    for (const auto& [name, route] : overlay.routes) {
        const auto known = std::any_of(content.routes.begin(), content.routes.end(),
                                       [&, n = &name](const route_config& r) { return r.name == *n; });
        if (!known) {
            findings.push_back({overlay.file, route.line, route.column,
                                fmt::format("'{}' is not a route of the base file", name),
                                "use a name from its 'routes'"});
        }
    }
    return findings;
}

configuration merge(const base_document& base, const overlay_document* overlay, std::uint64_t version)
{
    configuration merged = base.content;
    merged.version = version;
    if (overlay == nullptr) {
        return merged;
    }
    for (const auto& [name, change] : overlay->services) {
        auto& service = merged.services.at(name);
        service.slots = change.slots.value_or(service.slots);
        service.connections = change.connections.value_or(service.connections);
    }
    for (auto& route : merged.routes) {
        if (const auto change = overlay->routes.find(route.name); change != overlay->routes.end()) {
            route.timeout = change->second.timeout.value_or(route.timeout);
        }
    }
    return merged;
}

std::vector<finding> check_documents(const std::vector<named_document>& documents)
{
    std::vector<finding> findings;
    const auto base_at = std::find_if(documents.begin(), documents.end(),
                                      [](const named_document& d) { return d.name == base_document_name; });
    parsed<base_document> base;
    if (base_at == documents.end()) {
        findings.push_back({"(documents)", 0, 0, "the base file is missing", "add the base file"});
    }
    else {
        base = parse_base(base_at->file, base_at->text);
        append(findings, std::move(base.findings));
    }
    for (const auto& document : documents) {
        if (is_overlay_name(document.name)) {
            append(findings, check_overlay_document(document, base ? &*base.value : nullptr));
        }
        else if (document.name != base_document_name) {
            findings.push_back({document.file, 0, 0,
                                fmt::format("'{}' is not a valid document name", document.name),
                                "use 'base' or 'overlay/<data centre>'"});
        }
    }
    return findings;
}

result<std::shared_ptr<const configuration>>
load_configuration(const document_set& documents, const std::string& data_centre, std::uint64_t version)
{
    const auto base_text = documents.find(std::string{base_document_name});
    if (base_text == documents.end()) {
        return make_error(errc::invalid_argument, "the accepted documents have no base file");
    }
    const auto base = parse_base("base", base_text->second);
    if (!base) {
        return make_error(errc::invalid_argument, to_string(base.findings));
    }
    if (base.value->content.data_centres.count(data_centre) == 0) {
        return make_error(
            errc::invalid_argument,
            fmt::format("the accepted base file does not define data centre '{}'", data_centre));
    }
    const auto name = std::string{overlay_document_prefix} + data_centre;
    const auto overlay_text = documents.find(name);
    if (overlay_text == documents.end()) {
        return std::make_shared<const configuration>(merge(*base.value, nullptr, version));
    }
    const auto overlay = parse_overlay(name, overlay_text->second);
    auto findings = overlay ? check_overlay(*base.value, *overlay.value) : overlay.findings;
    if (!findings.empty()) {
        return make_error(errc::invalid_argument, to_string(std::move(findings)));
    }
    return std::make_shared<const configuration>(merge(*base.value, &*overlay.value, version));
}

} // namespace wagtailhatch
