#pragma once

#include "include/config/finding.h"
#include "include/observe/logging.h"
#include "include/peer/peer_transport.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailhatch {

/// IP number and port of a listener.
struct listen_address {
    std::string ip = "127.0.0.1";
    std::uint16_t port = 0; ///< 0: chosen by the system.
};

/// Settings of one node process. They come from the file that starts the process and never change while it
/// runs. docs/configuration.md lists the fields and their defaults.
struct node_settings {
    std::string instance;    ///< Stable name of the instance; required.
    std::string data_centre; ///< Required.
    std::string service;     ///< Service of the target beside the node; required.
    listen_address callers;  ///< Default 127.0.0.1:0.
    listen_address local;    ///< Default 127.0.0.1:0; must be a loopback address.
    listen_address peers;    ///< Default 127.0.0.1:0.
    listen_address admin;    ///< Default 127.0.0.1:0.
    std::string
        advertised; ///< Where peers reach this node; "IP:0" takes the port of `peers`. Default: `peers`.
    std::string platform;            ///< Table service and object store; required.
    std::vector<peer_address> seeds; ///< Peers to ask while the platform is unavailable. Default: none.
    std::string peer_secret; ///< At least 32 bytes, from `peer_secret` or `peer_secret_file`; required.
    log_level level = log_level::info;
    std::string trace_endpoint;                      ///< OTLP/HTTP collector; empty: no traces are sent.
    std::chrono::milliseconds drain_timeout{30'000}; ///< Bound of a planned stop.
    std::uint64_t seed = 0;                          ///< Of decisions; 0: chosen by the system.
};

/// Checks the text of a settings file. `peer_secret_file` is read relative to the folder of `file`.
parsed<node_settings> parse_node_settings(const std::string& file, std::string_view text);

/// Reads and checks a settings file.
parsed<node_settings> load_node_settings(const std::string& file);

} // namespace wagtailhatch
