#pragma once

#include "include/core/allowed_regions.h"
#include "include/core/clock.h"
#include "include/core/importance.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailhatch {

/// API key of a workspace. Only its hash is stored.
struct key_config {
    std::string sha256; ///< 64 lower-case hexadecimal digits.
    bool withdrawn = false;

    bool operator==(const key_config&) const = default;
};

struct workspace_config {
    std::string name;
    double rate = 0;                 ///< Requests per second over all nodes together; 0: no limit.
    double burst = 0;                ///< Requests.
    std::optional<importance> level; ///< Overrides the importance of the route.
    std::vector<key_config> keys;
    allowed_regions regions{}; ///< Applies together with that of the route.

    bool operator==(const workspace_config&) const = default;
};

/// A service that receives a weighted share of a route's requests.
struct weighted_service {
    std::string service;
    double weight = 1; ///< Relative to the other services of the route.

    bool operator==(const weighted_service&) const = default;
};

/// Routing rule: maps requests that arrive at the entry node to services.
struct route_config {
    std::string name;
    std::string host;                       ///< Host of the request; empty: any.
    std::string method;                     ///< Upper case; empty: any.
    std::string path_prefix;                ///< Matches whole path segments; the longest prefix wins.
    std::vector<weighted_service> services; ///< At least one.
    importance level = importance::normal;
    bool open = false;              ///< Requests need no key.
    bool idempotent = true;         ///< May be retried after an unknown outcome; otherwise runs at most once.
    bool streaming = false;         ///< Responses are large and are forwarded as they arrive.
    std::uint32_t max_attempts = 2; ///< Limit on the attempts of a request that may have run.
    std::chrono::milliseconds timeout{1000};
    std::chrono::milliseconds target_latency{1000}; ///< A response within it has full value to the caller.
    allowed_regions regions{};                      ///< Regions whose targets may run the requests.

    bool operator==(const route_config&) const = default;
};

struct service_config {
    std::string name;
    std::vector<std::string> calls; ///< Services that its targets call.
    std::uint32_t slots = 0;        ///< Concurrent requests per target; 0: determined by measurement alone.
    std::uint32_t connections = 0;  ///< Connections that a target accepts; 0: no known limit.
    std::string health_path = "/healthz";
    std::chrono::milliseconds cold_duration{}; ///< Of a target's cold start; 0: unknown.
    double cold_rate = 0; ///< Requests per second that a cold target handles; 0: no limit.

    bool operator==(const service_config&) const = default;
};

struct data_centre_config {
    std::string name;

    bool operator==(const data_centre_config&) const = default;
};

/// Limits on the requests and connections of callers.
struct caller_limits {
    std::size_t max_header_bytes = std::size_t{16} << 10;
    std::size_t max_body_bytes = std::size_t{64} << 20;
    std::chrono::milliseconds header_timeout{3000}; ///< For receiving the complete request header.
    std::chrono::milliseconds idle_timeout{15'000}; ///< For a connection without a request.

    bool operator==(const caller_limits&) const = default;
};

/// The operators' accepted configuration, as effective in one data centre. Immutable once published.
struct configuration {
    std::uint64_t version = 0; ///< 0: no configuration received yet.
    caller_limits limits;
    std::map<std::string, data_centre_config> data_centres;
    std::map<std::string, service_config> services;
    std::map<std::string, workspace_config> workspaces;
    std::vector<route_config> routes;

    /// nullptr if there is no service with this name.
    const service_config* find_service(std::string_view name) const
    {
        const auto found = services.find(std::string{name});
        return found == services.end() ? nullptr : &found->second;
    }

    bool operator==(const configuration&) const = default;
};

} // namespace wagtailhatch
