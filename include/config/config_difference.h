#pragma once

#include "include/config/configuration.h"

#include <string>
#include <vector>

namespace wagtailhatch {

/// A field, or a whole entry, that differs between two configurations.
struct config_difference {
    std::string place;  ///< Kind and name of the entry, for example "workspace 'cafe'".
    std::string field;  ///< Empty: the whole entry.
    std::string before; ///< Empty: absent.
    std::string after;  ///< Empty: absent.
    /// Whether callers may be served less, for example by a lower rate or a removed route.
    bool takes_from_callers = false;

    bool operator==(const config_difference&) const = default;
};

/// Returns what differs, first the changes that take something from callers. Versions are not compared.
std::vector<config_difference> compare_configurations(const configuration& in_force,
                                                      const configuration& proposed);

/// Formats as "place: field: before -> after".
std::string to_string(const config_difference& difference);

} // namespace wagtailhatch
