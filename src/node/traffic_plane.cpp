#include "src/node/traffic_plane.h"

#include "include/membership/store_readers.h"
#include "include/observe/logging.h"
#include "src/core/socket_address.h"

#include <asio/post.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace wagtailhatch {
namespace {

using namespace std::chrono_literals;

constexpr duration sweep_interval = 250ms;
constexpr std::size_t max_body_bytes = std::size_t{64} << 20;
// A node that is no longer needed as a reader of the store goes on for this long, so that readers that come
// and go in quick succession cost no calls.
constexpr duration reader_overlap = 2s;
constexpr duration config_ask_interval = 500ms;
constexpr duration accept_pause = 50ms;
// Accepting counts as failing until it has not failed for this long.
constexpr duration accept_recovery = 1s;
// A periodic task that runs this late is reported: requests and hang-ups are noticed as late.
constexpr duration noteworthy_lag = 100ms;

std::uint64_t random_incarnation()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32U) | device();
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
    , acceptor_{io}
    , sweep_timer_{io}
    , drain_{settings_.bounds.stop_time}
{
    gate_.set_path_pressure([this](std::string_view route) { return router_.path_pressure(route); });
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
    std::error_code ignored;
    acceptor_.close(ignored);
    sweep_timer_.cancel();
    mesh_.stop();
    const auto sessions = std::exchange(sessions_, {});
    for (const auto& [raw, session] : sessions) {
        session->close();
    }
}

result<bool> traffic_plane::start()
{
    const auto address = parse_address(settings_.callers);
    if (!address) {
        return make_error(errc::invalid_argument, "callers' address " + settings_.callers);
    }
    if (const auto error = listen_on(acceptor_, *address)) {
        return make_error(errc::unavailable,
                          "callers' listener " + settings_.callers + ": " + error.message());
    }
    if (auto started = mesh_.start(); !started) {
        return started;
    }
    accept();
    sweep();
    return true;
}

void traffic_plane::accept()
{
    acceptor_.async_accept([this](const std::error_code& ec, asio::ip::tcp::socket socket) {
        if (!acceptor_.is_open()) {
            return;
        }
        if (!ec) {
            const auto session = std::make_shared<caller_session>(std::move(socket),
                                                                  static_cast<caller_session_owner&>(*this));
            sessions_.emplace(session.get(), session);
            session->start();
            accept();
            return;
        }
        // Out of descriptors, as a rule: others must close first.
        on_accept_failure(ec);
        const auto pause = std::make_shared<asio::steady_timer>(io_, accept_pause);
        pause->async_wait([this, pause](const std::error_code&) { accept(); });
    });
}

void traffic_plane::on_accept_failure(const std::error_code& reason)
{
    numbers_.callers_not_accepted.add();
    last_accept_failure_ = time_.now();
    if (accept_failures_++ > 0) {
        return;
    }
    first_accept_failure_ = last_accept_failure_;
    const auto sessions = count_sessions();
    log(log_level::warning, "callers not accepted",
        {{"error", reason.message()},
         {"idle", sessions.at(static_cast<std::size_t>(session_state::idle))},
         {"reading", sessions.at(static_cast<std::size_t>(session_state::reading))},
         {"answering", sessions.at(static_cast<std::size_t>(session_state::answering))},
         {"closing", sessions.at(static_cast<std::size_t>(session_state::closing))}});
}

void traffic_plane::check_accepting(steady_time now)
{
    if (accept_failures_ > 0 && now - last_accept_failure_ > accept_recovery) {
        log(log_level::info, "callers accepted again",
            {{"failures", accept_failures_},
             {"after_ms",
              std::chrono::duration<double, std::milli>(last_accept_failure_ - first_accept_failure_)
                  .count()}});
        accept_failures_ = 0;
    }
}

void traffic_plane::on_session_end(caller_session* session)
{
    sessions_.erase(session);
}

void traffic_plane::note_lag(steady_time now)
{
    const auto due = sweep_timer_.expiry();
    const auto lag = due == steady_time{} ? duration{} : std::max(now - due, duration{});
    numbers_.event_loop_lag.set(to_seconds(lag));
    if (lag > noteworthy_lag) {
        log(log_level::warning, "event loop late",
            {{"lag_ms", std::chrono::duration<double, std::milli>(lag).count()},
             {"sessions", sessions_.size()},
             {"entry_requests", router_.in_progress()},
             {"target_requests", gate_.in_progress()}});
    }
}

session_counts traffic_plane::count_sessions() const
{
    session_counts counts{};
    for (const auto& [raw, session] : sessions_) {
        ++counts.at(static_cast<std::size_t>(session->state()));
    }
    return counts;
}

void traffic_plane::sweep()
{
    const auto now = time_.now();
    note_lag(now);
    check_accepting(now);
    const auto copy = sessions_;
    for (const auto& [raw, session] : copy) {
        session->check(now);
    }
    gate_.close_expired();
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

bool traffic_plane::reserve_body(std::size_t bytes)
{
    if (body_bytes_ + bytes > max_body_bytes) {
        return false;
    }
    body_bytes_ += bytes;
    return true;
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
        // The own target still serves its node's callers while the node prepares to stop.
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
        std::error_code ignored;
        acceptor_.close(ignored);
        stopped_ = true;
        // Until the process ends, calls may still arrive on open connections: none of them would end.
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
    const auto sessions = count_sessions();
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
