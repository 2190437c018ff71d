#include "include/observe/logging.h"
#include "src/node/traffic_plane.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace wagtailhatch {
namespace {

/// Adds the last known pace of a target and for how long it has been slow, if either is known.
void add_speed(nlohmann::json& out, double pace, std::optional<steady_time> slow_since, steady_time now)
{
    if (pace > 0) {
        out["pace"] = pace;
    }
    if (slow_since) {
        out["slow_for_s"] = to_seconds(now - *slow_since);
    }
}

} // namespace

void traffic_plane::report_load()
{
    const auto load = target_dispatcher_.load();
    stats_.target_in_flight.set(load.in_flight);
    stats_.target_limit.set(load.limit);
    stats_.target_queued.set(load.queued);
    stats_.target_cold.set(target_dispatcher_.cold_start().cold(time_.now()) ? 1 : 0);
    stats_.cold_starts.add(static_cast<double>(target_dispatcher_.take_cold_starts()));
    stats_.target_pace.set(load.pace);
    stats_.target_service_seconds.set(to_seconds(load.service_time));
    const auto invalid_paces = target_dispatcher_.invalid_paces();
    stats_.target_pace_invalid.add(
        static_cast<double>(invalid_paces - std::exchange(reported_invalid_paces_, invalid_paces)));
    stats_.peers.set(static_cast<double>(mesh_.link_count()));
    const auto sessions = callers_.count_sessions();
    for (std::size_t state = 0; state < sessions.size(); ++state) {
        stats_.caller_connections[state].set(static_cast<double>(sessions.at(state)));
    }
    stats_.evacuated_data_centres.set(static_cast<double>(evacuation_.evacuated().size()));
    stats_.config_version.set(config_.content ? static_cast<double>(config_.content->version) : 0);
    const auto rejecting = router_.rejecting_services();
    stats_.services_rejecting.set(static_cast<double>(rejecting.size()));
    stats_.services_shed.set(static_cast<double>(
        std::count_if(rejecting.begin(), rejecting.end(), [](const auto& s) { return s.shedding; })));
    stats_.log_lines_left_out.set(static_cast<double>(dropped_log_lines()));
    if (!log_enabled(log_level::debug)) {
        return;
    }
    log(log_level::debug, "load",
        {{"in_flight", load.in_flight},
         {"limit", load.limit},
         {"queued", load.queued},
         {"level", load.own.value()},
         {"least_share", load.own.least_share()},
         {"capacity", target_dispatcher_.capacity()},
         {"demand", target_dispatcher_.format_demand()},
         {"entry", router_.format_pressure()}});
}

std::string traffic_plane::status_json() const
{
    nlohmann::json out;
    out["instance"] = settings_.instance;
    out["service"] = settings_.service;
    out["data_centre"] = settings_.data_centre;
    out["region"] = settings_.region_of(settings_.data_centre);
    out["config_version"] = config_.content ? config_.content->version : 0;
    const auto now = time_.now();
    const auto& cold = target_dispatcher_.cold_start();
    out["target"] = {{"id", target_dispatcher_.target().id},
                     {"phase", to_string(target_dispatcher_.target().phase)},
                     {"slots", target_dispatcher_.target().slots},
                     {"in_progress", target_dispatcher_.in_progress()},
                     {"cold", cold.cold(now)},
                     {"cold_left_s", to_seconds(cold.cold_left(now))},
                     {"cold_per_second", cold.rate(now).value_or(0)}};
    add_speed(out["target"], target_dispatcher_.speed().pace(now), target_dispatcher_.speed().slow_since(),
              now);
    out["requests"] = router_.in_progress();
    out["draining"] = drain_.begun();
    out["rates_known"] = rates_known_;
    out["evacuated"] = nlohmann::json::array();
    for (const auto& e : evacuation_.evacuated()) {
        out["evacuated"].push_back({{"data_centre", e.name},
                                    {"row_version", e.row_version},
                                    {"version", evacuation_.known().version},
                                    {"known_for_s", to_seconds(now - e.begun)},
                                    {"share", e.share(now)}});
    }
    for (const auto& service : router_.rejecting_services()) {
        out["rejecting_services"].push_back(
            {{"service", service.name}, {"share", service.share}, {"shedding", service.shedding}});
    }
    for (const auto& load : router_.estimated_loads()) {
        out["estimated_loads"].push_back(
            {{"service", load.service}, {"spread", load.spread}, {"leaving_share", load.leaving_share}});
    }
    for (const auto& [address, status] : peers_) {
        out["peers"].push_back({{"address", address},
                                {"service", status.self.service},
                                {"target", status.self.id},
                                {"state", to_string(status.self.state)},
                                {"config_version", status.config_version}});
        const auto speed = peer_speeds_.find(address);
        add_speed(out["peers"].back(), status.load.pace,
                  speed == peer_speeds_.end() ? std::nullopt : speed->second.slow_since(), now);
    }
    return out.dump();
}

} // namespace wagtailhatch
