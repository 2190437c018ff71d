#include "src/node/traffic_plane.h"

#include "include/membership/store_readers.h"
#include "include/observe/logging.h"
#include "src/core/socket_address.h"

#include <asio/post.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <random>
#include <sys/resource.h>
#include <utility>

namespace wagtailhatch {
namespace {

using namespace std::chrono_literals;

constexpr duration sweep_interval = 250ms;
// A node keeps reading the store for this long after it is no longer elected, so that a quickly changing
// election causes no extra store calls.
constexpr duration reader_overlap = 2s;
constexpr duration config_ask_interval = 500ms;
// Share of the file descriptors available to callers' connections. The rest is for peers, the target, the
// store and files.
constexpr double callers_part = 0.75;
// Lag of the periodic task above which a warning is logged: requests and disconnects are noticed as late.
constexpr duration noteworthy_lag = 100ms;

std::uint64_t random_incarnation()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32U) | device();
}

std::size_t max_descriptors(const node_settings& settings)
{
    rlimit limit{};
    const bool known = getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY;
    const auto most =
        known ? static_cast<std::size_t>(limit.rlim_cur) : std::numeric_limits<std::size_t>::max();
    return settings.max_descriptors > 0 ? std::min(settings.max_descriptors, most) : most;
}

caller_listener_options listener_options(const node_settings& settings)
{
    const auto callers = callers_part * static_cast<double>(max_descriptors(settings));
    return {parse_address(settings.callers).value_or(asio::ip::tcp::endpoint{}),
            static_cast<std::size_t>(callers)};
}

target_gate_options gate_options(const node_settings& settings)
{
    target_gate_options options;
    options.service = settings.service;
    options.target = parse_address(settings.target).value_or(asio::ip::tcp::endpoint{});
    return options;
}

} // namespace

traffic_plane::traffic_plane(asio::io_context& io, const clock& time, node_settings settings,
                             const caller_dialect& dialect, node_metrics& numbers, std::uint64_t seed,
                             traffic_events events)
    : io_{io}
    , time_{time}
    , settings_{std::move(settings)}
    , dialect_{dialect}
    , numbers_{numbers}
    , random_{seed}
    , events_{std::move(events)}
    , incarnation_{random_incarnation()}
    , gate_{io, time, dialect, gate_options(settings_)}
    , mesh_{io, time, random_, parse_address(settings_.peers).value_or(asio::ip::tcp::endpoint{}), *this}
    , router_{io, time, random_, dialect, settings_, numbers, *this}
    , callers_{io, time, listener_options(settings_), *this}
    , sweep_timer_{io}
    , drain_{settings_.bounds.stop_time}
{
    gate_.set_path_pressure([this](std::string_view route) { return router_.path_pressure(route); });
    gate_.on_sent([this](duration waited) { numbers_.queue_seconds.observe(to_seconds(waited)); });
    gate_.on_death([this](const death_report& report) {
        mesh_.publish_death(report);
        refresh_members();
        mesh_.publish_status();
        events_.target_down();
    });
}

traffic_plane::~traffic_plane()
{
    close();
}

void traffic_plane::close()
{
    sweep_timer_.cancel();
    mesh_.stop();
    callers_.close();
}

result<bool> traffic_plane::start()
{
    if (auto started = callers_.start(); !started) {
        return started;
    }
    if (auto started = mesh_.start(); !started) {
        return started;
    }
    sweep();
    return true;
}

void traffic_plane::note_lag(steady_time now)
{
    const auto due = sweep_timer_.expiry();
    const auto lag = due == steady_time{} ? duration{} : std::max(now - due, duration{});
    numbers_.event_loop_lag.set(to_seconds(lag));
    if (lag > noteworthy_lag) {
        log(log_level::warning, "event loop late",
            {{"lag_ms", std::chrono::duration<double, std::milli>(lag).count()},
             {"sessions", callers_.size()},
             {"entry_requests", router_.in_progress()},
             {"target_requests", gate_.in_progress()}});
    }
}

void traffic_plane::sweep()
{
    note_lag(time_.now());
    callers_.check_sessions();
    gate_.sweep();
    report_load();
    if (suspects_ != current_suspects()) {
        refresh_members();
    }
    check_drained();
    elect_store_readers();
    sweep_timer_.expires_after(sweep_interval);
    sweep_timer_.async_wait([this](const std::error_code& ec) {
        if (!ec) {
            sweep();
        }
    });
}

const caller_limits& traffic_plane::limits() const
{
    return config_.content ? config_.content->limits : default_limits_;
}

void traffic_plane::on_request(std::shared_ptr<caller_exchange> exchange)
{
    if (stopped_ || drain_.refuses(time_.now())) {
        exchange->respond({503, dialect_.own_answer_headers({}, 100ms), {}});
        return;
    }
    router_.handle(std::move(exchange));
    if (router_.rates().report_due()) {
        mesh_.publish_soon();
    }
}

std::shared_ptr<call_handle> traffic_plane::carry(const member& to, service_call call,
                                                  std::shared_ptr<reply_sink> sink)
{
    if (to.address == settings_.peers) {
        return gate_.start(std::move(call), std::move(sink));
    }
    if (!mesh_.linked(to.address)) {
        return nullptr;
    }
    return mesh_.call(to.address, call, std::move(sink));
}

std::shared_ptr<call_handle> traffic_plane::on_peer_call(service_call call, std::shared_ptr<reply_sink> sink)
{
    return gate_.start(std::move(call), std::move(sink));
}

member traffic_plane::self() const
{
    member m;
    m.address = settings_.peers;
    m.id = gate_.target().id;
    m.service = settings_.service;
    m.data_centre = settings_.data_centre;
    m.incarnation = incarnation_;
    if (stopped_) {
        m.state = member_state::left;
    }
    else if (leaving_told_) {
        m.state = member_state::leaving;
    }
    else if (gate_.takes_work()) {
        m.state = member_state::ready;
    }
    else {
        const auto phase = gate_.target().phase;
        const bool left = phase == target_phase::draining || phase == target_phase::gone;
        m.state = left ? member_state::leaving : member_state::joining;
    }
    return m;
}

node_status traffic_plane::own_status()
{
    auto s = whole_status();
    s.usage = router_.rates().report(time_.now());
    return s;
}

node_status traffic_plane::whole_status()
{
    node_status s;
    s.self = self();
    s.slots = gate_.target().slots;
    s.cold = time_.now() < gate_.target().cold_until;
    s.load = gate_.load();
    s.config_version = config_.content ? config_.content->version : 0;
    s.reads_store = reads_store_ && store_contact_ && s.config_version > 0;
    s.usage = router_.rates().whole_report();
    return s;
}

void traffic_plane::refresh_members()
{
    std::vector<member> members;
    if (const auto own = self(); !own.id.empty()) {
        members.push_back(own);
        // The own target still serves this node's callers until the shutdown completes.
        if (leaving_told_ && gate_.takes_work()) {
            members.back().state = member_state::ready;
        }
    }
    suspects_.clear();
    for (const auto& [address, status] : peers_) {
        if (status.self.id.empty()) {
            continue;
        }
        members.push_back(status.self);
        if (members.back().state == member_state::ready && mesh_.suspect(address)) {
            suspects_.insert(address);
            members.back().state = member_state::joining;
        }
    }
    router_.set_members(members);
    router_.set_node_count(mesh_.contact_count() + 1);
}

std::set<peer_address> traffic_plane::current_suspects() const
{
    std::set<peer_address> out;
    for (const auto& [address, status] : peers_) {
        if (status.self.state == member_state::ready && mesh_.suspect(address)) {
            out.insert(address);
        }
    }
    return out;
}

void traffic_plane::on_peer_status(const node_status& status)
{
    auto& known = peers_[status.self.address];
    const bool changed = !(known.self == status.self);
    if (changed && known.self.address == status.self.address) {
        log(log_level::info, "instance state",
            {{"peer", status.self.address},
             {"target", status.self.id},
             {"service", status.self.service},
             {"state", to_string(status.self.state)}});
    }
    known = status;
    if (status.self.state == member_state::left) {
        forget(status.self.address);
        refresh_members();
        return;
    }
    router_.rates().on_peer_usage(status.self.address, status.self.incarnation, status.usage, time_.now());
    if (changed || suspects_.count(status.self.address) != 0) {
        refresh_members();
    }
    router_.on_load(status.self, status.load);
    const auto now = time_.now();
    const auto own_version = config_.content ? config_.content->version : 0;
    const bool newer = status.config_version > std::max(own_version, config_asked_);
    const bool again = status.config_version > own_version && now - config_asked_at_ > config_ask_interval;
    if (newer || again) {
        config_asked_ = status.config_version;
        config_asked_at_ = now;
        mesh_.request_config(status.self.address);
    }
}

void traffic_plane::on_peer_lost(const peer_address& address)
{
    peers_.erase(address);
    refresh_members();
}

void traffic_plane::on_peer_config(config_message message)
{
    const auto own_version = config_.content ? config_.content->version : 0;
    if (message.version > own_version) {
        events_.peer_config(message.version, std::move(message.document));
    }
}

config_message traffic_plane::newest_config() const
{
    if (!config_.content) {
        return {};
    }
    return {config_.content->version, *config_.document};
}

void traffic_plane::on_peer_death(const death_report& report)
{
    gate_.quarantine().on_death(report, time_.now());
}

void traffic_plane::on_known(const std::vector<peer_address>& addresses)
{
    mesh_.add_known(addresses);
}

void traffic_plane::set_configuration(versioned_config config)
{
    const auto before = config_.content ? config_.content->version : 0;
    if (config.content->version <= before) {
        return;
    }
    config_ = std::move(config);
    log(log_level::info, "configuration in force",
        {{"version", config_.content->version},
         {"routes", config_.content->routes.size()},
         {"workspaces", config_.content->workspaces.size()}});
    for (const auto& route : config_.content->routes) {
        log(log_level::debug, "route",
            {{"name", route.name},
             {"host", route.host},
             {"prefix", route.path_prefix},
             {"service", route.services.front().service},
             {"services", route.services.size()},
             {"importance", to_string(route.level)},
             {"open", route.open},
             {"idempotent", route.idempotent},
             {"attempts", route.max_attempts},
             {"timeout_ms", route.timeout.count()},
             {"target_latency_ms", route.target_latency.count()}});
    }
    for (const auto& [name, workspace] : config_.content->workspaces) {
        log(log_level::debug, "workspace",
            {{"name", name},
             {"rate", workspace.rate},
             {"burst", workspace.burst},
             {"importance", workspace.level ? to_string(*workspace.level) : "of the route"},
             {"keys", workspace.keys.size()}});
    }
    router_.set_configuration(config_.content);
    mesh_.publish_status();
}

void traffic_plane::set_target(const target_state& target)
{
    const auto before = self();
    gate_.set_target(target);
    if (!(before == self())) {
        refresh_members();
        mesh_.publish_status();
    }
}

void traffic_plane::add_known(const std::vector<peer_address>& nodes)
{
    mesh_.add_known(nodes);
}

void traffic_plane::forget(const peer_address& node)
{
    mesh_.forget(node);
    router_.rates().forget_peer(node);
}

void traffic_plane::set_store_contact(bool reached)
{
    store_contact_ = reached;
    mesh_.publish_soon();
}

void traffic_plane::elect_store_readers()
{
    std::vector<peer_address> reading;
    for (const auto& [address, status] : peers_) {
        if (status.reads_store && status.self.data_centre == settings_.data_centre &&
            !mesh_.suspect(address)) {
            reading.push_back(address);
        }
    }
    const auto now = time_.now();
    const bool needed = !drain_.begun() && should_read_store(settings_.peers, reading);
    if (needed) {
        store_needed_ = now;
    }
    const bool reads = needed || (reads_store_ && now - store_needed_ < reader_overlap);
    if (std::exchange(reads_store_, reads) != reads) {
        events_.read_store(reads);
        mesh_.publish_soon();
    }
}

void traffic_plane::drain(std::function<void()> done)
{
    drain_.begin(time_.now());
    drained_ = std::move(done);
}

void traffic_plane::check_drained()
{
    if (!drained_) {
        return;
    }
    const auto now = time_.now();
    if (drain_.leaves_peers(now) && !std::exchange(leaving_told_, true)) {
        refresh_members();
        mesh_.publish_status();
    }
    const bool quiet = router_.in_progress() == 0 && gate_.in_progress() == 0;
    if (drain_.over(now, quiet)) {
        log(log_level::info, "drained",
            {{"entry_requests", router_.in_progress()}, {"target_requests", gate_.in_progress()}});
        callers_.stop_accepting();
        stopped_ = true;
        // Calls may still arrive on open connections until the process exits. They could not finish, so the
        // gate must refuse them.
        auto target = gate_.target();
        target.phase = target_phase::draining;
        gate_.set_target(target);
        mesh_.publish_status();
        std::exchange(drained_, nullptr)();
    }
}

void traffic_plane::report_load()
{
    const auto load = gate_.load();
    numbers_.target_in_flight.set(load.in_flight);
    numbers_.target_limit.set(load.limit);
    numbers_.target_queued.set(load.queued);
    numbers_.peers.set(static_cast<double>(mesh_.link_count()));
    const auto sessions = callers_.count_sessions();
    for (std::size_t state = 0; state < sessions.size(); ++state) {
        numbers_.caller_connections[state].set(static_cast<double>(sessions.at(state)));
    }
    numbers_.config_version.set(config_.content ? static_cast<double>(config_.content->version) : 0);
    numbers_.log_lines_left_out.set(static_cast<double>(dropped_log_lines()));
    if (!log_enabled(log_level::debug)) {
        return;
    }
    log(log_level::debug, "load",
        {{"in_flight", load.in_flight},
         {"limit", load.limit},
         {"queued", load.queued},
         {"level", load.own.value()},
         {"capacity", gate_.capacity()},
         {"demand", gate_.demand_text()},
         {"entry", router_.pressure_text()}});
}

std::string traffic_plane::status_json() const
{
    nlohmann::json out;
    out["instance"] = settings_.instance;
    out["service"] = settings_.service;
    out["data_centre"] = settings_.data_centre;
    out["config_version"] = config_.content ? config_.content->version : 0;
    out["target"] = {{"id", gate_.target().id},
                     {"phase", to_string(gate_.target().phase)},
                     {"slots", gate_.target().slots},
                     {"in_progress", gate_.in_progress()}};
    out["requests"] = router_.in_progress();
    out["draining"] = drain_.begun();
    for (const auto& [address, status] : peers_) {
        out["peers"].push_back({{"address", address},
                                {"service", status.self.service},
                                {"target", status.self.id},
                                {"state", to_string(status.self.state)},
                                {"config_version", status.config_version}});
    }
    return out.dump();
}

} // namespace wagtailhatch
