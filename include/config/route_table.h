#pragma once

#include "include/config/configuration.h"
#include "include/core/string_map.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailhatch {

/// Returns the percent-decoded path of a request target, without the query. Returns nothing if another HTTP
/// implementation could resolve the target to another path: dot segments, empty segments, encoded slashes,
/// backslashes, double encoding, control characters, fragments, or a target that is not in origin form.
std::optional<std::string> canonical_path(std::string_view target);

/// Longest-prefix-match table of the routes, by host. The longest prefix of whole segments whose method
/// matches wins; a prefix with a trailing slash matches only paths below it; for equal prefixes a specific
/// method takes precedence over any method. Routes without a host serve every host that has no matching route
/// of its own. Paths and methods are case-sensitive; hosts are compared case-insensitively and without the
/// port. Immutable and thread-safe.
class route_table {
public:
    explicit route_table(std::shared_ptr<const configuration> config);

    /// Returns nullptr if no route matches. The route lives as long as the table.
    const route_config* find(std::string_view host, std::string_view method, std::string_view target) const;

private:
    using prefix_map = string_map<std::vector<const route_config*>>;

    static const route_config* find_in(const prefix_map& routes, std::string_view method,
                                       std::string_view full_path);

    std::shared_ptr<const configuration> config_;
    string_map<prefix_map> by_host_;
};

} // namespace wagtailhatch
