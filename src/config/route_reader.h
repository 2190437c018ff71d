#pragma once

#include "include/config/configuration.h"
#include "src/config/field_reader.h"

#include <optional>
#include <string>

namespace wagtailhatch {

/// Reads an importance class that operators may set. Returns nothing after reporting an error.
std::optional<importance> read_importance(field_reader& read, const yaml_tree& node);

/// Reads the names of allowed regions; null means any.
allowed_regions read_allowed_regions(field_reader& read, const yaml_tree& node);

/// Reads one route. Fields with a reported error stay empty or at their default.
route_config read_route(field_reader& read, const std::string& name, const yaml_tree& node);

} // namespace wagtailhatch
