#pragma once

#include "include/core/importance.h"

#include <cstdint>
#include <string>
#include <vector>

namespace wagtailhatch::bench {

struct sim_service {
    std::string name;
    std::vector<int> data_centres; ///< Data centre of each server.
    std::uint32_t slots = 0;       ///< Service slots of each server.
    std::uint32_t connections = 0; ///< Connections that each server accepts; it refuses more.
    double work = 0;               ///< Mean service time in seconds, excluding downstream calls.
};

struct sim_route {
    std::string name;
    importance level = importance::normal;
    double request_fraction = 0; ///< Fraction of all requests.
    std::vector<int> path;       ///< Indices of services, each called by its predecessor.
    bool run_once = false;       ///< Not retried after a lost connection.
};

struct sim_deployment {
    std::string name;
    int data_centres = 1;
    std::vector<sim_service> services;
    std::vector<sim_route> routes;
    int bottleneck = 0;             ///< Index of the service that saturates first.
    std::vector<double> workspaces; ///< Fraction of all requests that each workspace sends.
    double base_rate = 0;           ///< Requests per second outside triggers.
    double bottleneck_capacity = 0; ///< Requests per second that the bottleneck can serve.
};

/// With these service times one service deep in the call chains saturates first; outside triggers its
/// utilisation is 65%.
sim_deployment wrapline();
sim_deployment lavakorpi();

/// A chain of five services; the deepest saturates first.
sim_deployment chain_of_five();

/// The workspace that sends 8 times its rate while trigger::flood is active.
constexpr std::uint32_t flooding_workspace = 2;

enum class trigger : std::uint8_t {
    none,
    surge,             ///< All requests at 3 times their base rate.
    surge_noncritical, ///< All but critical requests at 3 times their base rate.
    slow_bottleneck,   ///< The bottleneck 4 times slower; callers retry (scenario::caller_retries).
    slow_and_surge,    ///< slow_bottleneck and surge at the same time.
    flood,             ///< One large workspace at 8 times its rate; the rates fit the capacity.
    replaced_cold,     ///< A third of the targets replaced by cold instances.
    frozen_reports,    ///< Load reports frozen while one target of the bottleneck is 4 times slower.
    killed,            ///< One target of each service killed, and restarted cold at the end.
    /// One request that crashes each target that starts it; sent only at the first occurrence.
    crashing_request,
};

std::string to_string(trigger t);

} // namespace wagtailhatch::bench
