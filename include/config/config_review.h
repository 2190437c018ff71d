#pragma once

#include "include/config/configuration.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailhatch {

enum class review_severity : std::uint8_t {
    error,   ///< The entry has no effect or refuses requests that it is meant to admit.
    warning, ///< The entry takes effect, but possibly not the intended one.
};

/// "error" or "warning".
std::string_view to_string(review_severity severity);

/// Diagnostic about an entry of a configuration that is valid by itself.
struct review_finding {
    review_severity severity = review_severity::warning;
    std::string place; ///< Kind and name of the entry, for example "route 'print'".
    std::string problem;
    std::string remedy;

    bool operator==(const review_finding&) const = default;
};

/// What the source of a configuration tells beyond the configuration itself.
struct review_scope {
    bool calls_known = false; ///< Whether the calls between services are configured.
    std::optional<std::set<std::string, std::less<>>> regions; ///< Of the data centres; nothing: unknown.
};

/// Returns entries that can never match and limits that contradict each other.
std::vector<review_finding> review_configuration(const configuration& config, const review_scope& scope);

} // namespace wagtailhatch
