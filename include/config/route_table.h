#pragma once

#include "include/config/configuration.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace wagtailhatch {

/// Path of a request target without its query, percent-decoded. Nothing if another reader could take it for
/// another path: dot segments, empty segments, encoded slashes, backslashes, double encoding, control
/// characters, fragments, or a target that is not in origin form.
std::optional<std::string> canonical_path(std::string_view target);

/// Finds the route of a request: the longest prefix of whole segments whose method matches; for equal
/// prefixes a named method wins over any method. Paths and methods compare with case. Immutable; any thread.
class route_table {
public:
    explicit route_table(std::shared_ptr<const configuration> config);

    /// nullptr if there is none. Lives as long as the table.
    const route_config* find(std::string_view method, std::string_view target) const;

private:
    std::shared_ptr<const configuration> config_;
    std::unordered_map<std::string, std::vector<const route_config*>> by_prefix_;
};

} // namespace wagtailhatch
