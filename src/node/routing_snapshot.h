#pragma once

#include "include/config/configuration.h"
#include "include/config/key_index.h"
#include "include/config/route_table.h"
#include "include/core/string_map.h"
#include "include/routing/weighted_split.h"

#include <memory>
#include <string>

namespace wagtailhatch {

/// A configuration together with everything that an entry node derives from it. A request keeps the snapshot
/// that it arrived under, so a request that is still waiting when the configuration changes cannot pass on
/// what it derives from its own one to later requests. Not thread-safe.
class routing_snapshot {
public:
    explicit routing_snapshot(std::shared_ptr<const configuration> config);

    const configuration& config() const { return *config_; }
    const route_table& routes() const { return routes_; }
    const key_index& keys() const { return keys_; }

    /// Returns the service for the next request of a route of this configuration, by the route's weights.
    const std::string& next_service(const route_config& route);

private:
    std::shared_ptr<const configuration> config_;
    route_table routes_;
    key_index keys_;
    string_map<weighted_split> splits_; ///< By route name; only of routes with several services.
};

} // namespace wagtailhatch
