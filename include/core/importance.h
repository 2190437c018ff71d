#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace wagtailhatch {

/// Class of a request under overload, set by operators for each route. Lower values are shed last.
enum class importance : std::uint8_t { critical = 0, high = 1, normal = 2, low = 3 };

constexpr std::size_t importance_count = 4;
constexpr std::array<std::string_view, importance_count> importance_names{"critical", "high", "normal",
                                                                          "low"};

constexpr std::string_view to_string(importance i)
{
    return importance_names.at(static_cast<std::size_t>(i));
}

/// The class with that name, or nothing.
constexpr std::optional<importance> parse_importance(std::string_view name)
{
    for (std::size_t i = 0; i < importance_names.size(); ++i) {
        if (importance_names.at(i) == name) {
            return static_cast<importance>(i);
        }
    }
    return std::nullopt;
}

} // namespace wagtailhatch
