#include "include/observe/logging.h"
#include "src/node/traffic_plane.h"

#include <utility>

namespace wagtailhatch {

void traffic_plane::on_peer_config(config_message message)
{
    const auto own_version = config_.content ? config_.content->version : 0;
    if (message.version > own_version) {
        events_.peer_config(message.version, std::move(message.document));
    }
}

config_message traffic_plane::newest_config() const
{
    if (!config_.content) {
        return {};
    }
    return {config_.content->version, *config_.document};
}

void traffic_plane::set_configuration(versioned_config config)
{
    const auto before = config_.content ? config_.content->version : 0;
    if (config.content->version <= before) {
        return;
    }
    config_ = std::move(config);
    log(log_level::info, "configuration in force",
        {{"version", config_.content->version},
         {"routes", config_.content->routes.size()},
         {"workspaces", config_.content->workspaces.size()}});
    for (const auto& route : config_.content->routes) {
        log(log_level::debug, "route",
            {{"name", route.name},
             {"host", route.host},
             {"prefix", route.path_prefix},
             {"service", route.services.front().service},
             {"services", route.services.size()},
             {"importance", to_string(route.level)},
             {"open", route.open},
             {"idempotent", route.idempotent},
             {"attempts", route.max_attempts},
             {"timeout_ms", route.timeout.count()},
             {"target_latency_ms", route.target_latency.count()}});
    }
    for (const auto& [name, workspace] : config_.content->workspaces) {
        log(log_level::debug, "workspace",
            {{"name", name},
             {"rate", workspace.rate},
             {"burst", workspace.burst},
             {"importance", workspace.level ? to_string(*workspace.level) : "of the route"},
             {"keys", workspace.keys.size()}});
    }
    router_.set_configuration(config_.content);
    target_dispatcher_.set_cold_start(own_cold_start());
    mesh_.publish_status();
}

cold_start_options traffic_plane::own_cold_start() const
{
    cold_start_options options;
    options.overage = settings_.bounds.cold_overage;
    options.slack = settings_.bounds.cold_slack;
    if (const auto* service = config_.content->find_service(settings_.service)) {
        options.rate = service->cold_rate;
        options.cold_duration = service->cold_duration;
    }
    return options;
}

const caller_limits& traffic_plane::limits() const
{
    return config_.content ? config_.content->limits : default_limits_;
}

} // namespace wagtailhatch
