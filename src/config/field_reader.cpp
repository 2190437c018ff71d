#include "src/config/field_reader.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <set>
#include <utility>

namespace wagtailhatch {
namespace {

using std::chrono::milliseconds;

bool digits_only(std::string_view text)
{
    return !text.empty() &&
           std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
}

/// Parses digits without a leading zero, because YAML parsers disagree on whether 010 is eight or ten.
std::optional<std::uint64_t> parse_unsigned(std::string_view text)
{
    if (!digits_only(text) || (text.size() > 1 && text.front() == '0')) {
        return std::nullopt;
    }
    std::uint64_t value = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
    return code == std::errc{} ? std::optional{value} : std::nullopt;
}

/// Splits a text such as "30s" into number and unit.
std::pair<std::string_view, std::string_view> split_unit(std::string_view text)
{
    const auto end = std::min(text.find_first_not_of("0123456789"), text.size());
    return {text.substr(0, end), text.substr(end)};
}

/// Parses an integer with one of the units and multiplies it by the unit's factor. Returns nothing on
/// overflow.
template <std::size_t N>
std::optional<std::uint64_t>
parse_scaled(std::string_view text, const std::array<std::pair<std::string_view, std::uint64_t>, N>& units)
{
    const auto [number, unit] = split_unit(text);
    const auto value = parse_unsigned(number);
    const auto found = std::find_if(units.begin(), units.end(),
                                    [&, u = unit](const auto& entry) { return entry.first == u; });
    if (!value || found == units.end() || *value > UINT64_MAX / found->second) {
        return std::nullopt;
    }
    return *value * found->second;
}

std::string format_duration(milliseconds t)
{
    return t.count() % 1000 == 0 ? fmt::format("{}s", t.count() / 1000) : fmt::format("{}ms", t.count());
}

std::string join_names(std::initializer_list<std::string_view> a, std::initializer_list<std::string_view> b)
{
    std::vector<std::string_view> names{a};
    names.insert(names.end(), b);
    return fmt::format("{}", fmt::join(names, ", "));
}

} // namespace

bool valid_name(std::string_view name)
{
    const auto allowed = [](char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-'; };
    return !name.empty() && name.size() <= 63 && name.front() != '-' && name.back() != '-' &&
           std::all_of(name.begin(), name.end(), allowed);
}

void field_reader::report(const yaml_tree& at, std::string problem, std::string remedy)
{
    findings_.push_back({file_, at.line, at.column, std::move(problem), std::move(remedy)});
}

bool field_reader::check_fields(const yaml_tree& node, std::string_view label,
                                std::initializer_list<std::string_view> required,
                                std::initializer_list<std::string_view> optional)
{
    if (node.kind != yaml_kind::mapping) {
        report(node, fmt::format("{} is not a mapping", label),
               fmt::format("write the fields {}", join_names(required, optional)));
        return false;
    }
    std::set<std::string_view> seen;
    const auto known = [&](std::string_view field) {
        return std::find(required.begin(), required.end(), field) != required.end() ||
               std::find(optional.begin(), optional.end(), field) != optional.end();
    };
    for (const auto& [key, value] : node.entries) {
        if (key.kind != yaml_kind::scalar || !known(key.text)) {
            report(key, fmt::format("{} has an unknown field '{}'", label, key.text),
                   fmt::format("the fields are {}", join_names(required, optional)));
        }
        else if (!seen.insert(key.text).second) {
            report(key, fmt::format("the field '{}' of {} is repeated", key.text, label),
                   "write each field once");
        }
    }
    for (const auto field : required) {
        if (seen.count(field) == 0) {
            report(node, fmt::format("{} has no field '{}'", label, field), fmt::format("add '{}'", field));
        }
    }
    return true;
}

void field_reader::for_each_named(const yaml_tree& node, std::string_view label,
                                  const std::function<void(const std::string&, const yaml_entry&)>& visit)
{
    if (node.kind == yaml_kind::null) {
        return;
    }
    if (node.kind != yaml_kind::mapping) {
        report(node, fmt::format("'{}' is not a mapping", label), "write 'name: {fields}' entries");
        return;
    }
    std::set<std::string_view> seen;
    for (const auto& entry : node.entries) {
        const auto valid = name(entry.key, fmt::format("a name in '{}'", label));
        if (!valid) {
            continue;
        }
        if (!seen.insert(entry.key.text).second) {
            report(entry.key, fmt::format("'{}' appears twice in '{}'", *valid, label), "keep one of them");
            continue;
        }
        visit(*valid, entry);
    }
}

void field_reader::for_each_item(const yaml_tree& node, std::string_view label,
                                 const std::function<void(const yaml_tree&)>& visit)
{
    if (node.kind == yaml_kind::null) {
        return;
    }
    if (node.kind != yaml_kind::sequence) {
        report(node, fmt::format("'{}' is not a list", label), "write a list, for example [a, b]");
        return;
    }
    std::for_each(node.items.begin(), node.items.end(), visit);
}

const std::string* field_reader::scalar(const yaml_tree& node, std::string_view label,
                                        std::string_view expected)
{
    if (node.kind != yaml_kind::scalar) {
        report(node, fmt::format("'{}' is not a single value", label), fmt::format("write {}", expected));
        return nullptr;
    }
    return &node.text;
}

std::optional<std::string> field_reader::text(const yaml_tree& node, std::string_view label)
{
    const auto* value = scalar(node, label, "a string");
    return value == nullptr ? std::nullopt : std::optional{*value};
}

std::optional<std::string> field_reader::name(const yaml_tree& node, std::string_view label)
{
    const auto* value = scalar(node, label, "a name");
    if (value == nullptr) {
        return std::nullopt;
    }
    if (!valid_name(*value)) {
        report(node, fmt::format("'{}' is not valid as {}", *value, label),
               "use 1 to 63 lower-case letters, digits and inner hyphens");
        return std::nullopt;
    }
    return *value;
}

std::optional<bool> field_reader::boolean(const yaml_tree& node, std::string_view label)
{
    const auto* value = scalar(node, label, "true or false");
    if (value == nullptr) {
        return std::nullopt;
    }
    if (node.quoted || (*value != "true" && *value != "false")) {
        report(node, fmt::format("'{}' is not valid for '{}'", *value, label), "write true or false");
        return std::nullopt;
    }
    return *value == "true";
}

std::optional<std::uint64_t> field_reader::integer(const yaml_tree& node, std::string_view label,
                                                   std::uint64_t min_allowed, std::uint64_t max_allowed)
{
    const auto range =
        fmt::format("an integer from {} to {} without leading zeros", min_allowed, max_allowed);
    const auto* value = scalar(node, label, range);
    if (value == nullptr) {
        return std::nullopt;
    }
    const auto number = parse_unsigned(*value);
    if (node.quoted || !number || *number < min_allowed || *number > max_allowed) {
        report(node, fmt::format("'{}' is not valid for '{}'", *value, label), "write " + range);
        return std::nullopt;
    }
    return number;
}

std::optional<double> field_reader::decimal(const yaml_tree& node, std::string_view label, double min_allowed,
                                            double max_allowed)
{
    const auto range =
        fmt::format("a decimal number from {} to {} such as 12 or 0.5", min_allowed, max_allowed);
    const auto* value = scalar(node, label, range);
    if (value == nullptr) {
        return std::nullopt;
    }
    const std::string_view all{*value};
    const auto point = all.find('.');
    const bool well_formed =
        parse_unsigned(all.substr(0, point)) && (point == all.npos || digits_only(all.substr(point + 1)));
    double number = 0;
    const auto [end, code] = std::from_chars(all.data(), all.data() + all.size(), number);
    if (node.quoted || !well_formed || code != std::errc{} || number < min_allowed || number > max_allowed) {
        report(node, fmt::format("'{}' is not valid for '{}'", *value, label), "write " + range);
        return std::nullopt;
    }
    return number;
}

std::optional<milliseconds> field_reader::time(const yaml_tree& node, std::string_view label,
                                               milliseconds min_allowed, milliseconds max_allowed)
{
    constexpr std::array<std::pair<std::string_view, std::uint64_t>, 4> units{
        {{"ms", 1}, {"s", 1000}, {"m", 60'000}, {"h", 3'600'000}}};
    const auto range = fmt::format("a duration from {} to {} with a unit (ms, s, m or h), for example 250ms",
                                   format_duration(min_allowed), format_duration(max_allowed));
    const auto* value = scalar(node, label, range);
    if (value == nullptr) {
        return std::nullopt;
    }
    const auto number = parse_scaled(*value, units);
    if (!number || *number < static_cast<std::uint64_t>(min_allowed.count()) ||
        *number > static_cast<std::uint64_t>(max_allowed.count())) {
        report(node, fmt::format("'{}' is not valid for '{}'", *value, label), "write " + range);
        return std::nullopt;
    }
    return milliseconds{*number};
}

std::optional<std::uint64_t> field_reader::size(const yaml_tree& node, std::string_view label,
                                                std::uint64_t min_allowed, std::uint64_t max_allowed)
{
    constexpr std::array<std::pair<std::string_view, std::uint64_t>, 3> units{
        {{"", 1}, {"KiB", 1024}, {"MiB", 1024 * 1024}}};
    const auto range = fmt::format("a size from {} to {} bytes, for example 64KiB", min_allowed, max_allowed);
    const auto* value = scalar(node, label, range);
    if (value == nullptr) {
        return std::nullopt;
    }
    const auto number = parse_scaled(*value, units);
    if (!number || *number < min_allowed || *number > max_allowed) {
        report(node, fmt::format("'{}' is not valid for '{}'", *value, label), "write " + range);
        return std::nullopt;
    }
    return number;
}

} // namespace wagtailhatch
