#pragma once

#include "include/config/finding.h"
#include "include/membership/member.h"
#include "include/observe/logging.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailhatch {

/// Promises that hold over all nodes together, as the operators state them.
struct fleet_bounds {
    double retry_ratio = 0.2; ///< Repeated arrivals for each request of a service.
    double retry_slack = 20;  ///< Repeated arrivals beyond that in a window.
    std::chrono::milliseconds retry_window{10'000};
    double rate_overage = 0.1;                         ///< Part of a rate that may be exceeded.
    std::chrono::milliseconds leave_time{2000};        ///< A leaving target gets its last work within it.
    std::chrono::milliseconds stop_time{6000};         ///< From SIGTERM until the process is killed.
    std::chrono::milliseconds announce_interval{1500}; ///< Between announcements of a target.

    bool operator==(const fleet_bounds&) const = default;
};

/// Settings of one node process. Addresses are "IP:PORT"; port 0 is chosen by the system.
/// docs/configuration.md lists the fields of the product's own settings file and their defaults.
struct node_settings {
    std::string instance;                  ///< Stable name of the instance; required.
    std::string data_centre;               ///< Required.
    std::string service;                   ///< Service of the target beside the node; required.
    std::string callers = "127.0.0.1:0";   ///< For callers and the target's own calls.
    std::string peers = "127.0.0.1:0";     ///< For other nodes.
    std::string readiness = "127.0.0.1:0"; ///< Asked whether callers may come.
    std::string control = "127.0.0.1:0";   ///< For the announcements of the target.
    std::string metrics = "127.0.0.1:0";
    std::string target;              ///< Address of the target; required.
    std::string store;               ///< Address of the platform's store; required.
    std::vector<peer_address> seeds; ///< Nodes to ask while the store is away. Default: none.
    std::size_t max_descriptors = 0; ///< That the process may hold; 0: what the system allows it.
    log_level level = log_level::info;
    fleet_bounds bounds;

    bool operator==(const node_settings&) const = default;
};

/// Checks the text of a settings file.
parsed<node_settings> parse_node_settings(const std::string& file, std::string_view text);

/// Reads and checks a settings file.
parsed<node_settings> load_node_settings(const std::string& file);

} // namespace wagtailhatch
