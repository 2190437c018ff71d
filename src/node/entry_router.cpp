#include "src/node/entry_router.h"

#include "include/observe/logging.h"
#include "src/node/entry_call.h"

#include <fmt/format.h>

#include <utility>

namespace wagtailhatch {
namespace {

using namespace std::chrono_literals;

constexpr duration rate_poll_interval = 10ms;

} // namespace

entry_router::entry_router(asio::io_context& io, const clock& time, random_source& random,
                           const header_codec& codec, const node_settings& settings, node_metrics& stats,
                           call_dispatcher& dispatcher)
    : io_{io}
    , time_{time}
    , random_{random}
    , codec_{codec}
    , settings_{settings}
    , stats_{stats}
    , dispatcher_{dispatcher}
    , rates_{rate_allocator_options{settings.bounds.rate_overage}, settings.peers,
             [&dispatcher](const peer_address& allocator, const rate_request& request) {
                 return dispatcher.request_rate(allocator, request);
             }}
    , rate_timer_{io}
{
}

entry_router::~entry_router() = default;

void entry_router::handle(std::shared_ptr<caller_exchange> exchange)
{
    std::make_shared<entry_call>(*this, std::move(exchange))->start();
}

void entry_router::record_abandoned(const caller_exchange& exchange)
{
    stats_.callers_gone.add();
    auto headers = exchange.request.headers;
    log(log_level::info, "caller gone", {{"id", codec_.read_request(headers).id}, {"begun", false}});
}

void entry_router::set_configuration(std::shared_ptr<const configuration> config)
{
    snapshot_ = std::make_shared<routing_snapshot>(std::move(config));
    rates_.set_configuration(snapshot_->config(), time_.now_with_suspend());
    for (auto& [name, state] : services_) {
        apply_configuration(name, *state);
    }
}

entry_router::service_state& entry_router::service(std::string_view name)
{
    auto found = services_.find(name);
    if (found == services_.end()) {
        balancer_options options;
        options.data_centre = settings_.data_centre;
        const retry_budget_options budget{settings_.bounds.retry_ratio, settings_.bounds.retry_slack};
        found =
            services_.emplace(std::string{name}, std::make_unique<service_state>(options, random_, budget))
                .first;
        found->second->retries.set_node_count(nodes_);
        std::vector<member> own;
        std::copy_if(members_.begin(), members_.end(), std::back_inserter(own),
                     [&](const member& m) { return m.service == name; });
        found->second->targets.set_members(own);
        found->second->targets.set_evacuated(evacuated_);
        apply_configuration(name, *found->second);
    }
    return *found->second;
}

void entry_router::apply_configuration(std::string_view name, service_state& state) const
{
    const auto* service = snapshot_ ? snapshot_->config().find_service(name) : nullptr;
    state.chains.set_variable_capacity(service != nullptr && service->cold_rate > 0);
}

void entry_router::set_members(std::span<const member> members)
{
    members_.assign(members.begin(), members.end());
    string_map<std::vector<member>> by_service;
    for (const auto& m : members_) {
        by_service[m.service].push_back(m);
    }
    for (auto& [name, state] : services_) {
        state->targets.set_members(by_service[name]);
    }
}

void entry_router::set_evacuated(std::span<const evacuated_data_centre> evacuated)
{
    evacuated_.assign(evacuated.begin(), evacuated.end());
    for (auto& [name, state] : services_) {
        state->targets.set_evacuated(evacuated_);
    }
}

void entry_router::set_node_count(std::size_t nodes)
{
    nodes_ = nodes == 0 ? 1 : nodes;
    for (auto& [name, state] : services_) {
        state->retries.set_node_count(nodes_);
    }
}

void entry_router::set_rate_allocators(std::span<const peer_address> nodes, double reachable_fraction)
{
    rates_.set_nodes(nodes, reachable_fraction, time_.now_with_suspend());
}

rate_grant entry_router::on_rate_request(const rate_request& request)
{
    return rates_.on_request(request, time_.now_with_suspend());
}

void entry_router::on_rate_grant(const rate_grant& grant)
{
    rates_.on_grant(grant, time_.now_with_suspend());
}

void entry_router::sweep()
{
    rates_.poll(time_.now_with_suspend());
    log_rejections();
    for (const auto& [name, state] : services_) {
        report_load_estimate(name, *state);
    }
}

void entry_router::log_rejections()
{
    const auto now = time_.now();
    for (auto& [name, state] : services_) {
        const bool rejecting = state->chains.rejecting(now);
        if (std::exchange(state->rejecting_logged, rejecting) != rejecting) {
            log(log_level::warning, rejecting ? "service rejects" : "service rejects no more",
                {{"service", name}, {"share", state->chains.rejected_share(now)}});
        }
        const bool shedding = state->chains.shedding(now);
        if (std::exchange(state->shedding_logged, shedding) != shedding) {
            log(log_level::warning, shedding ? "chains shed for rejections" : "chains no longer shed",
                {{"service", name}, {"share", state->chains.rejected_share(now)}});
        }
    }
}

std::vector<rejecting_service> entry_router::rejecting_services() const
{
    std::vector<rejecting_service> result;
    const auto now = time_.now();
    for (const auto& [name, state] : services_) {
        if (state->chains.rejecting(now)) {
            result.push_back({name, state->chains.rejected_share(now), state->chains.shedding(now)});
        }
    }
    return result;
}

void entry_router::report_load_estimate(const std::string& name, service_state& state)
{
    const auto* load = state.targets.estimated_load(time_.now());
    if (load != nullptr && !state.load_spread) {
        state.load_spread = stats_.load_spread(name);
    }
    if (state.load_spread) {
        state.load_spread->set(load != nullptr ? load->spread() : 0);
    }
    const bool spilling = state.load_status && state.load_status->leaving_share > 0;
    state.load_status.reset();
    if (load != nullptr) {
        state.load_status = {name, load->spread(), state.targets.leaving_share()};
    }
    const double share = load != nullptr ? state.load_status->leaving_share : 0;
    if (spilling != (share > 0)) {
        log(log_level::info, share > 0 ? "spillover begun" : "spillover ended",
            {{"service", name}, {"share", share}});
    }
}

std::vector<estimated_load_status> entry_router::estimated_loads() const
{
    std::vector<estimated_load_status> result;
    for (const auto& [name, state] : services_) {
        if (state->load_status) {
            result.push_back(*state->load_status);
        }
    }
    return result;
}

void entry_router::poll_waiting_rates()
{
    if (rate_timer_running_ || !rates_.has_waiting()) {
        return;
    }
    rate_timer_running_ = true;
    rate_timer_.expires_after(rate_poll_interval);
    rate_timer_.async_wait([this](const std::error_code& ec) {
        if (ec) {
            return;
        }
        rate_timer_running_ = false;
        rates_.poll(time_.now_with_suspend());
        poll_waiting_rates();
    });
}

admit_level entry_router::path_pressure(std::string_view route) const
{
    admit_level least;
    const auto now = time_.now();
    for (const auto& [name, state] : services_) {
        least = min(least, state->targets.path_pressure(route, now, state->chains.level(route, now)));
    }
    return least;
}

std::string entry_router::format_pressure() const
{
    std::string out;
    const auto now = time_.now();
    for (const auto& route : snapshot_ ? snapshot_->config().routes : std::vector<route_config>{}) {
        const auto found = services_.find(route.services.front().service);
        if (found != services_.end()) {
            out += fmt::format("{}:{:.2f} ", route.name,
                               found->second->targets.entry_pressure(route.name, now).value());
        }
    }
    return out;
}

void entry_router::on_load_report(const member& of, const load_report& load)
{
    const auto found = services_.find(of.service);
    if (found != services_.end()) {
        found->second->targets.on_report(of.id, load, time_.now());
    }
}

} // namespace wagtailhatch
