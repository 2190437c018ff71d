#include "include/config/config_review.h"

#include "include/config/route_table.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <memory>
#include <utility>

namespace wagtailhatch {
namespace {

/// Collects the findings about one configuration.
class config_reviewer {
public:
    config_reviewer(const configuration& config, const review_scope& scope)
        : config_{config}
        , scope_{scope}
    {
    }

    std::vector<review_finding> review()
    {
        review_hidden_routes();
        for (const auto& route : config_.routes) {
            review_route(route);
        }
        for (const auto& [name, workspace] : config_.workspaces) {
            review_workspace(workspace);
        }
        review_shared_keys();
        for (const auto& [name, service] : config_.services) {
            review_service(service);
        }
        return std::move(findings_);
    }

private:
    void add(review_severity severity, std::string place, std::string problem, std::string remedy)
    {
        findings_.push_back({severity, std::move(place), std::move(problem), std::move(remedy)});
    }

    static std::string route_place(const route_config& route)
    {
        return fmt::format("route '{}'", route.name);
    }

    /// Returns a request target whose canonical path is the prefix.
    static std::string target_of(std::string_view prefix)
    {
        std::string target;
        for (const char c : prefix) {
            if (c == '/') {
                target += c;
            }
            else {
                target += fmt::format("%{:02x}", static_cast<unsigned char>(c));
            }
        }
        return target;
    }

    /// Looks up the shortest path of each route. An empty method finds only routes for any method, so another
    /// route that is found there covers every request of the hidden one.
    void review_hidden_routes()
    {
        const auto copy = std::make_shared<const configuration>(config_);
        const route_table table{copy};
        for (const auto& route : copy->routes) {
            const auto* found = table.find(route.host, route.method, target_of(route.path_prefix));
            if (found == nullptr) {
                add(review_severity::error, route_place(route),
                    fmt::format("no request path matches the prefix '{}'", route.path_prefix),
                    "write the decoded path without '%', empty segments and dot segments");
            }
            else if (found != &route) {
                add(review_severity::error, route_place(route),
                    fmt::format("never matches: {} precedes it with the same host, method and prefix",
                                route_place(*found)),
                    "remove one of the routes or change its host, method or prefix");
            }
        }
    }

    void review_route(const route_config& route)
    {
        for (const auto& part : route.services) {
            if (part.weight == 0) {
                add(review_severity::warning, route_place(route),
                    fmt::format("service '{}' has weight 0 and receives no request", part.service),
                    "remove it from the route or give it a weight");
            }
        }
        if (route.target_latency > route.timeout) {
            add(review_severity::error, route_place(route),
                fmt::format("the target latency of {} ms is above the time-out of {} ms",
                            route.target_latency.count(), route.timeout.count()),
                "lower the target latency or raise the time-out");
        }
        review_regions(route_place(route), route.regions);
    }

    void review_workspace(const workspace_config& workspace)
    {
        const auto place = fmt::format("workspace '{}'", workspace.name);
        const auto usable = std::any_of(workspace.keys.begin(), workspace.keys.end(),
                                        [](const key_config& key) { return !key.withdrawn; });
        if (!usable) {
            add(review_severity::warning, place, "has no usable key, so no request belongs to it",
                "issue a key or remove the workspace");
        }
        if (workspace.rate > 0 && workspace.burst < 1) {
            add(review_severity::error, place,
                fmt::format("the burst of {} is below one request", workspace.burst),
                "set a burst of at least 1");
        }
        review_regions(place, workspace.regions);
    }

    void review_regions(const std::string& place, const allowed_regions& regions)
    {
        if (!regions) {
            return;
        }
        if (regions->empty()) {
            add(review_severity::error, place, "allows no region, so no target may run its requests",
                "list at least one region or remove the list");
        }
        if (!scope_.regions) {
            return;
        }
        for (const auto& region : *regions) {
            if (scope_.regions->count(region) == 0) {
                add(review_severity::warning, place,
                    fmt::format("the allowed region '{}' has no data centre", region),
                    "correct the name or place a data centre in the region");
            }
        }
    }

    void review_shared_keys()
    {
        std::map<std::string_view, const workspace_config*> owners;
        for (const auto& [name, workspace] : config_.workspaces) {
            for (const auto& key : workspace.keys) {
                const auto [first, added] = owners.try_emplace(key.sha256, &workspace);
                if (!added) {
                    constexpr std::size_t shown_digits = 8;
                    add(review_severity::error, fmt::format("workspace '{}'", name),
                        fmt::format("the key with hash {}... is already held by workspace '{}'",
                                    key.sha256.substr(0, shown_digits), first->second->name),
                        "list each key once; issue another key");
                }
            }
        }
    }

    void review_service(const service_config& service)
    {
        std::chrono::milliseconds longest_latency{};
        bool reached = false;
        for (const auto& route : config_.routes) {
            for (const auto& part : route.services) {
                if (part.service == service.name) {
                    reached = true;
                    longest_latency =
                        part.weight > 0 ? std::max(longest_latency, route.target_latency) : longest_latency;
                }
            }
        }
        if (scope_.calls_known && !reached && !is_called(service.name)) {
            add(review_severity::warning, fmt::format("service '{}'", service.name),
                "no route leads to it and no service calls it",
                "add a route or a call, or remove the service");
        }
        if (service.slots > 0 && longest_latency.count() > 0) {
            review_slots(service, longest_latency);
        }
    }

    bool is_called(const std::string& name) const
    {
        return std::any_of(config_.services.begin(), config_.services.end(), [&](const auto& entry) {
            const auto& calls = entry.second.calls;
            return std::find(calls.begin(), calls.end(), name) != calls.end();
        });
    }

    /// The configuration does not hold the number of targets: the warning assumes one in each data centre and
    /// requests that occupy a slot for the target latency, and names the number that the rates require.
    void review_slots(const service_config& service, std::chrono::milliseconds latency)
    {
        double rates = 0;
        for (const auto& [name, workspace] : config_.workspaces) {
            rates += workspace.rate;
        }
        const auto targets = std::max<std::size_t>(config_.data_centres.size(), 1);
        const auto seconds = std::chrono::duration<double>(latency).count();
        const auto rate_of_target = service.slots / seconds;
        const auto capacity = static_cast<double>(targets) * rate_of_target;
        if (rates > capacity) {
            add(review_severity::warning, fmt::format("service '{}'", service.name),
                fmt::format("the workspaces' rates add up to {:g} requests/s; {} targets (one in each data "
                            "centre) x {} slots / {:g} s of target latency serve {:g} requests/s",
                            rates, targets, service.slots, seconds, capacity),
                fmt::format("run at least {:g} targets or lower the rates",
                            std::ceil(rates / rate_of_target)));
        }
    }

    const configuration& config_;
    const review_scope& scope_;
    std::vector<review_finding> findings_;
};

} // namespace

std::string_view to_string(review_severity severity)
{
    return severity == review_severity::error ? "error" : "warning";
}

std::vector<review_finding> review_configuration(const configuration& config, const review_scope& scope)
{
    return config_reviewer{config, scope}.review();
}

} // namespace wagtailhatch
