#pragma once

#include "include/core/clock.h"
#include "include/core/importance.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace wagtailhatch {

/// One key of a workspace. Only its hash is known to the system.
struct key_config {
    std::string sha256; ///< 64 lower-case hexadecimal digits.
    bool withdrawn = false;

    bool operator==(const key_config&) const = default;
};

struct workspace_config {
    std::string name;
    double rate = 0;  ///< Requests a second over the whole fleet.
    double burst = 0; ///< Requests.
    std::string home; ///< Data centre that answers for its run-once requests; empty: chosen by hash.
    std::vector<key_config> keys;

    bool operator==(const workspace_config&) const = default;
};

/// Maps requests at the entry to a service.
struct route_config {
    std::string name;
    std::string method;      ///< Upper case; empty: any.
    std::string path_prefix; ///< Matches whole path segments; the longest prefix wins.
    std::string service;
    importance level = importance::normal;
    bool open = false;      ///< Needs no key.
    bool run_once = false;  ///< Needs an Idempotency-Key and runs at most once.
    bool idempotent = true; ///< May be tried again after an unknown outcome.
    std::chrono::milliseconds timeout{1000};
    std::size_t max_body = std::size_t{1} << 20; ///< Bytes.

    bool operator==(const route_config&) const = default;
};

struct service_config {
    std::string name;
    std::vector<std::string> calls; ///< Services that its targets call.
    std::uint32_t slots = 0;        ///< Requests that a target runs at once; 0: found by measurement alone.
    std::uint32_t connections = 0;  ///< Connections that a target accepts; 0: no bound known.

    bool operator==(const service_config&) const = default;
};

struct data_centre_config {
    std::string name;
    double weight = 1; ///< Its part of each workspace's rate and burst, relative to the others.
    bool lost = false; ///< Its instances no longer run; it does not confirm re-weighting.

    bool operator==(const data_centre_config&) const = default;
};

/// The operators' accepted configuration as one data centre sees it. Immutable once published.
struct configuration {
    std::uint64_t version = 0; ///< 0: none yet.
    std::uint32_t slots_per_data_centre = 8;
    std::uint32_t retry_tokens = 1; ///< Extra attempts for a whole chain.
    std::chrono::seconds run_once_memory{24 * 3600};
    std::chrono::seconds max_staleness{0}; ///< 0: serve on without contact to the platform.
    std::map<std::string, data_centre_config> data_centres;
    std::map<std::string, service_config> services;
    std::map<std::string, workspace_config> workspaces;
    std::vector<route_config> routes;

    bool operator==(const configuration&) const = default;
};

} // namespace wagtailhatch
