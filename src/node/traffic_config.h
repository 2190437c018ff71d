#pragma once

#include "include/config/configuration.h"
#include "include/config/key_index.h"
#include "include/config/route_table.h"

#include <memory>

namespace wagtailhatch {

/// The configuration in force with the indexes that traffic needs. Immutable.
struct traffic_config {
    explicit traffic_config(const std::shared_ptr<const configuration>& c)
        : config{c}
        , keys{c}
        , routes{c}
    {
    }

    std::shared_ptr<const configuration> config;
    key_index keys;
    route_table routes;
};

} // namespace wagtailhatch
