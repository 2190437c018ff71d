#include "src/node/local_traffic_plane.h"

#include <nlohmann/json.hpp>

namespace wagtailhatch {
namespace {

const char* link_name(link_state s)
{
    switch (s) {
    case link_state::absent:
        return "absent";
    case link_state::ready:
        return "ready";
    case link_state::draining:
        return "draining";
    }
    return "unknown";
}

nlohmann::json slots_json(const slot_service& slots)
{
    auto owned = nlohmann::json::array();
    auto partnered = nlohmann::json::array();
    const auto& ownership = slots.ownership();
    for (std::uint32_t i = 0; i < ownership.slots(); ++i) {
        if (ownership.role(i) == slot_role::owner) {
            owned.push_back(i);
        }
        else if (ownership.role(i) == slot_role::partner) {
            partnered.push_back(i);
        }
    }
    return {{"owned", owned}, {"partner", partnered}};
}

} // namespace

std::string local_traffic_plane::status_json()
{
    const auto load = server_->load();
    nlohmann::json status{{"instance", settings_.instance},
                          {"data_centre", settings_.data_centre},
                          {"service", settings_.service},
                          {"version", config_ ? config_->version : 0},
                          {"state", draining_ ? "leaving" : control_status_.membership},
                          {"target", link_name(server_->target_state())},
                          {"in_flight", load.in_flight},
                          {"limit", load.limit},
                          {"queued", load.queued},
                          {"problem", control_status_.problem},
                          {"platform_reads", control_status_.platform_reads},
                          {"control_bytes", control_status_.control_bytes}};
    auto services = nlohmann::json::object();
    if (members_) {
        for (const auto& [service, list] : *members_) {
            services[service] = router_->usable(service);
        }
    }
    status["usable"] = services;
    if (slots_) {
        status["slots"] = slots_json(*slots_);
    }
    return status.dump();
}

void local_traffic_plane::handle_admin(http_exchange& exchange)
{
    http_response response;
    const auto& target = exchange.request().target;
    if (exchange.request().method != "GET") {
        response.status = 405;
    }
    else if (target == "/status") {
        response.headers.push_back({"Content-Type", "application/json"});
        response.body = status_json() + "\n";
    }
    else if (target == "/metrics") {
        telemetry_->set_load(server_->load(), server_->in_flight());
        response.headers.push_back({"Content-Type", metrics_content_type});
        response.body = telemetry_->text();
    }
    else {
        response.status = 404;
    }
    exchange.respond(std::move(response));
}

} // namespace wagtailhatch
