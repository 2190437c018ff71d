#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace wagtailhatch {

/// Priority class of a request for load shedding; lower values are shed last. Operators assign the four
/// classes without `_call`. Nested calls, which a target makes while it serves a request, get the class
/// directly before that request's class: refusing them wastes the work already done, so they take precedence
/// over new requests of the same class, but not over requests of a more important one.
enum class importance : std::uint8_t {
    critical_call,
    critical,
    high_call,
    high,
    normal_call,
    normal,
    low_call,
    low,
};

/// Number of priority classes within a workspace group.
constexpr std::size_t importance_group_size = 8;
/// Number of workspace groups. A workspace's importance takes precedence over the route's: each group has its
/// own copy of the classes above, and every class of a group is more important than all classes of the next
/// group. Workspaces of normal and of low importance share the last group.
constexpr std::size_t importance_group_count = 3;
constexpr std::size_t importance_count = importance_group_size * importance_group_count;
constexpr std::array<std::string_view, importance_group_size> importance_names{
    "critical-call", "critical", "high-call", "high", "normal-call", "normal", "low-call", "low"};

/// Names accepted in configuration documents.
constexpr std::array<std::string_view, importance_group_size / 2> operator_importance_names{
    "critical", "high", "normal", "low"};

/// Whether the class is one of nested calls.
constexpr bool is_nested_call(importance i)
{
    return static_cast<std::size_t>(i) % 2 == 0;
}

/// Class of nested calls that a target makes while it serves a request of this class.
constexpr importance nested_call_class(importance i)
{
    return is_nested_call(i) ? i : static_cast<importance>(static_cast<std::size_t>(i) - 1);
}

/// Class of the requests whose nested calls have this class; a class of requests is its own.
constexpr importance request_class(importance i)
{
    return is_nested_call(i) ? static_cast<importance>(static_cast<std::size_t>(i) + 1) : i;
}

/// Name of the class within its workspace group.
constexpr std::string_view to_string(importance i)
{
    return importance_names.at(static_cast<std::size_t>(i) % importance_group_size);
}

/// Combines the importance of a route and of a workspace into the class of a request.
constexpr importance combine_importance(importance route, importance workspace)
{
    const auto group = static_cast<std::size_t>(workspace) / 2;
    const auto last = importance_group_count - 1;
    return static_cast<importance>(static_cast<std::size_t>(route) +
                                   importance_group_size * (group < last ? group : last));
}

/// The class with one of operator_importance_names; nothing for any other name.
constexpr std::optional<importance> parse_importance(std::string_view name)
{
    for (std::size_t i = 0; i < operator_importance_names.size(); ++i) {
        if (operator_importance_names.at(i) == name) {
            return static_cast<importance>(2 * i + 1);
        }
    }
    return std::nullopt;
}

} // namespace wagtailhatch
