#include "src/node/routing_snapshot.h"

#include <utility>

namespace wagtailhatch {

routing_snapshot::routing_snapshot(std::shared_ptr<const configuration> config)
    : config_{std::move(config)}
    , routes_{config_}
    , keys_{config_}
{
}

const std::string& routing_snapshot::next_service(const route_config& route)
{
    if (route.services.size() == 1) {
        return route.services.front().service;
    }
    return splits_.try_emplace(route.name, route.services).first->second.next();
}

} // namespace wagtailhatch
