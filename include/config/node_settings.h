#pragma once

#include "include/config/finding.h"
#include "include/membership/member.h"
#include "include/observe/logging.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailhatch {

/// Limits and times that the operators set for the whole fleet.
struct fleet_bounds {
    double retry_ratio = 0.2; ///< Repeated arrivals at a service per request, over all nodes.
    double retry_slack = 20;  ///< Repeated arrivals beyond the ratio in a window, over all nodes.
    std::chrono::milliseconds retry_window{10'000};
    /// In any second, a cold target gets at most this multiple of its cold rate, and cold_slack requests.
    double cold_overage = 1.5;
    double cold_slack = 8;                      ///< Requests.
    double rate_overage = 0.1;                  ///< Fraction by which all nodes together may exceed a rate.
    std::chrono::milliseconds leave_time{2000}; ///< A leaving target receives its last request within it.
    std::chrono::milliseconds stop_time{6000};  ///< From SIGTERM until the process is killed.
    std::chrono::milliseconds announce_interval{1500}; ///< Between announcements of a target.
    /// From the operators' order to evacuate a data centre until its targets get no request.
    std::chrono::milliseconds evacuate_time{5000};

    bool operator==(const fleet_bounds&) const = default;
};

/// Settings of one node process. Addresses are "IP:PORT". With port 0 the system chooses the port of a
/// listener; a settings file must give the ports of peers, target, store and seeds. docs/configuration.md
/// lists the fields of the settings file and their defaults.
struct node_settings {
    std::string instance;                  ///< Stable name of the instance; required.
    std::string data_centre;               ///< Required.
    std::string service;                   ///< Service of the target beside the node; required.
    std::string callers = "127.0.0.1:0";   ///< Listens for callers and for calls that the local target makes.
    std::string peers = "127.0.0.1:0";     ///< Listens for other nodes.
    std::string readiness = "127.0.0.1:0"; ///< Readiness endpoint: whether callers may send requests.
    std::string control = "127.0.0.1:0";   ///< Listens for announcements of the target.
    std::string metrics = "127.0.0.1:0";   ///< Metrics and status endpoint; empty: none.
    std::string target;                    ///< Address of the target; required.
    std::string store;                     ///< Address of the platform's store; required.
    std::vector<peer_address> seeds; ///< Nodes to contact while the store is unreachable. Default: none.
    std::map<std::string, std::string> regions; ///< Data centre -> region; those not listed are in none.
    std::size_t max_descriptors = 0; ///< File descriptors that the process may hold; 0: the system's limit.
    std::size_t memory_limit = 0;    ///< Bytes of memory that the process may use; 0: not known.
    log_level level = log_level::info;
    fleet_bounds bounds;

    /// Region of a data centre; empty if it is unknown.
    std::string_view region_of(std::string_view name) const;

    bool operator==(const node_settings&) const = default;
};

/// Parses and validates the text of a settings file.
parsed<node_settings> parse_node_settings(const std::string& file, std::string_view text);

/// Reads, parses and validates a settings file.
parsed<node_settings> load_node_settings(const std::string& file);

} // namespace wagtailhatch
