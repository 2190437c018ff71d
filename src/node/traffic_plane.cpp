#include "src/node/traffic_plane.h"

#include "include/observe/logging.h"
#include "src/core/socket_address.h"

#include <asio/post.hpp>

#include <algorithm>
#include <limits>
#include <random>
#include <sys/resource.h>
#include <utility>

namespace wagtailhatch {
namespace {

using namespace std::chrono_literals;

constexpr duration sweep_interval = 250ms;
// The stop time is short; the end of the drain must not add a whole sweep interval to it.
constexpr duration drain_sweep_interval = 50ms;
constexpr duration config_request_interval = 500ms;
// Share of the file descriptors available to callers' connections. The rest is for peers, the target, the
// store and files.
constexpr double caller_descriptor_share = 0.75;
// Lag of the periodic task above which a warning is logged: the event loop handles requests and disconnects
// with the same delay.
constexpr duration lag_warning_threshold = 100ms;

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
    const auto callers = caller_descriptor_share * static_cast<double>(max_descriptors(settings));
    return {parse_address(settings.callers).value_or(asio::ip::tcp::endpoint{}),
            static_cast<std::size_t>(callers)};
}

target_dispatcher_options make_dispatcher_options(const node_settings& settings)
{
    target_dispatcher_options options;
    options.service = settings.service;
    options.target = parse_address(settings.target).value_or(asio::ip::tcp::endpoint{});
    return options;
}

} // namespace

traffic_plane::traffic_plane(asio::io_context& io, const clock& time, node_settings settings,
                             const header_codec& codec, node_metrics& stats, std::uint64_t seed,
                             traffic_events events)
    : io_{io}
    , time_{time}
    , settings_{std::move(settings)}
    , codec_{codec}
    , stats_{stats}
    , random_{seed}
    , body_memory_{limit_of_large_bodies(settings_.memory_limit)}
    , events_{std::move(events)}
    , incarnation_{random_incarnation()}
    , target_dispatcher_{io, time, codec, make_dispatcher_options(settings_)}
    , mesh_{io,           time, random_, parse_address(settings_.peers).value_or(asio::ip::tcp::endpoint{}),
            body_memory_, *this}
    , router_{io, time, random_, codec, settings_, stats, *this}
    , callers_{io, time, listener_options(settings_), body_memory_, *this}
    , sweep_timer_{io}
    , fleet_view_{settings_.peers}
    , election_{settings_.peers}
    , drain_{settings_.bounds.stop_time}
    , evacuation_{settings_.bounds.evacuate_time}
{
    target_dispatcher_.set_path_pressure(
        [this](std::string_view route) { return router_.path_pressure(route); });
    target_dispatcher_.on_sent([this](duration waited) { stats_.queue_seconds.observe(to_seconds(waited)); });
    target_dispatcher_.on_target_leaving([this](const std::string& id) { events_.target_leaving(id); });
    target_dispatcher_.on_target_crash([this](const crash_report& report) {
        mesh_.publish_crash(report);
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
    started_ = time_.now();
    sweep();
    return true;
}

void traffic_plane::record_lag(steady_time now)
{
    const auto due = sweep_timer_.expiry();
    const auto lag = due == steady_time{} ? duration{} : std::max(now - due, duration{});
    stats_.event_loop_lag.set(to_seconds(lag));
    if (lag > lag_warning_threshold) {
        log(log_level::warning, "event loop late",
            {{"lag_ms", std::chrono::duration<double, std::milli>(lag).count()},
             {"sessions", callers_.size()},
             {"entry_requests", router_.in_progress()},
             {"target_requests", target_dispatcher_.in_progress()}});
    }
}

void traffic_plane::sweep()
{
    record_lag(time_.now());
    callers_.check_sessions();
    target_dispatcher_.sweep();
    report_load();
    if (suspects_ != current_suspects()) {
        refresh_members();
    }
    check_rate_allocation();
    end_held_evacuations();
    enforce_evacuation();
    check_drained();
    elect_store_readers();
    sweep_timer_.expires_after(drain_.begun() ? drain_sweep_interval : sweep_interval);
    sweep_timer_.async_wait([this](const std::error_code& ec) {
        if (!ec) {
            sweep();
        }
    });
}

void traffic_plane::on_request(std::shared_ptr<caller_exchange> exchange)
{
    if (stopped_) {
        exchange->respond({503, codec_.local_response_headers({}, 100ms), {}});
        return;
    }
    router_.handle(std::move(exchange));
}

std::shared_ptr<call_handle> traffic_plane::dispatch(const member& to, const service_call& call,
                                                     std::shared_ptr<reply_sink> sink)
{
    if (to.address == settings_.peers) {
        const auto reason = refusal_here(call);
        return reason == refusal_reason::none ? target_dispatcher_.start(call, std::move(sink))
                                              : target_dispatcher_.reject(call, std::move(sink), reason);
    }
    if (!mesh_.linked(to.address)) {
        return nullptr;
    }
    return mesh_.call(to.address, call, std::move(sink));
}

std::shared_ptr<call_handle> traffic_plane::on_peer_call(service_call call, std::shared_ptr<reply_sink> sink)
{
    if (!drain_.admits(time_.now(), call.deadline)) {
        return target_dispatcher_.reject(std::move(call), std::move(sink), refusal_reason::leaving);
    }
    if (const auto reason = refusal_here(call); reason != refusal_reason::none) {
        return target_dispatcher_.reject(std::move(call), std::move(sink), reason);
    }
    return target_dispatcher_.start(std::move(call), std::move(sink));
}

refusal_reason traffic_plane::refusal_here(const service_call& call) const
{
    return allows(call.regions, settings_.region_of(settings_.data_centre)) ? refusal_reason::none
                                                                            : refusal_reason::outside_regions;
}

member traffic_plane::self() const
{
    member m;
    m.address = settings_.peers;
    m.id = target_dispatcher_.target().id;
    m.service = settings_.service;
    m.data_centre = settings_.data_centre;
    m.incarnation = incarnation_;
    if (stopped_) {
        m.state = member_state::left;
    }
    else if (leaving_announced_) {
        m.state = member_state::leaving;
    }
    else if (target_dispatcher_.accepts_calls()) {
        m.state = member_state::ready;
    }
    else {
        const auto phase = target_dispatcher_.target().phase;
        const bool left = phase == target_phase::draining || phase == target_phase::gone;
        m.state = left ? member_state::leaving : member_state::joining;
    }
    return m;
}

node_status traffic_plane::own_status()
{
    node_status s;
    s.self = self();
    s.slots = target_dispatcher_.target().slots;
    const auto now = time_.now();
    s.cold = now < target_dispatcher_.target().cold_until || target_dispatcher_.cold_start().cold(now);
    s.load = target_dispatcher_.load();
    s.config_version = config_.content ? config_.content->version : 0;
    s.reads_store = election_.reads_with_contact(time_.now()) && s.config_version > 0;
    s.allocates_rates = allocates_rates_;
    s.evacuation = evacuation_.to_send();
    return s;
}

void traffic_plane::refresh_members()
{
    std::vector<member> members;
    if (const auto own = self(); !own.id.empty()) {
        members.push_back(own);
        // This node's target still serves this node's callers until the shutdown completes.
        if (leaving_announced_ && target_dispatcher_.accepts_calls()) {
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
    update_rate_allocators();
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
    const bool changed = !(known.self == status.self) || known.allocates_rates != status.allocates_rates;
    if (changed && known.self.address == status.self.address) {
        log(log_level::info, "instance state",
            {{"peer", status.self.address},
             {"target", status.self.id},
             {"service", status.self.service},
             {"state", to_string(status.self.state)}});
    }
    record_peer_speed(status, known.self.id != status.self.id);
    if (status.load.pace > 0) {
        target_dispatcher_.assume_usual_pace();
    }
    // A node allocates only if it knows the fleet, and its hello lists the nodes that it knows.
    fleet_known_ = fleet_known_ || status.allocates_rates;
    known = status;
    on_peer_evacuation(status);
    if (status.self.state == member_state::left) {
        events_.peer_left(status.self.address, status.self.incarnation);
        forget(status.self.address);
        refresh_members();
        return;
    }
    if (status.self.data_centre == settings_.data_centre) {
        election_.on_peer_status(status.self.address, status.reads_store, time_.now());
    }
    if (changed || suspects_.count(status.self.address) != 0) {
        refresh_members();
    }
    router_.on_load_report(status.self, status.load);
    const auto now = time_.now();
    const auto own_version = config_.content ? config_.content->version : 0;
    const bool newer = status.config_version > std::max(own_version, requested_config_version_);
    const bool again =
        status.config_version > own_version && now - config_requested_at_ > config_request_interval;
    if (newer || again) {
        requested_config_version_ = status.config_version;
        config_requested_at_ = now;
        mesh_.request_config(status.self.address);
    }
}

void traffic_plane::record_peer_speed(const node_status& status, bool new_target)
{
    auto& speed = peer_speeds_[status.self.address];
    if (new_target) {
        speed = {};
    }
    speed.update(status.load.pace, time_.now());
}

void traffic_plane::on_peer_lost(const peer_address& address)
{
    peers_.erase(address);
    peer_speeds_.erase(address);
    election_.forget(address);
    refresh_members();
}

void traffic_plane::on_peer_crash(const crash_report& report)
{
    target_dispatcher_.quarantine().on_target_crash(report, time_.now());
}

void traffic_plane::on_peer_store_contact(const peer_address& address)
{
    const auto found = peers_.find(address);
    if (found != peers_.end() && found->second.self.data_centre == settings_.data_centre) {
        election_.on_store_contact(address, time_.now());
    }
}

void traffic_plane::on_peers_discovered(const std::vector<peer_address>& addresses)
{
    mesh_.add_peers(addresses);
}

void traffic_plane::set_target(const target_state& target)
{
    const auto before = self();
    target_dispatcher_.set_target(target);
    if (!(before == self())) {
        refresh_members();
        mesh_.publish_status();
    }
}

void traffic_plane::add_peers(const std::vector<peer_address>& nodes)
{
    mesh_.add_peers(nodes);
}

void traffic_plane::forget(const peer_address& node)
{
    mesh_.forget(node);
}

void traffic_plane::set_store_era(std::uint64_t era)
{
    if (era > store_era_) {
        store_era_ = era;
        mesh_.schedule_publish();
    }
}

void traffic_plane::on_peer_store_era(std::uint64_t era)
{
    if (era > store_era_) {
        // The peers of this node hear of it from its next status.
        store_era_ = era;
        events_.peer_store_era(era);
    }
}

void traffic_plane::on_store_call_end(bool answered)
{
    if (!answered) {
        return;
    }
    election_.on_own_contact(time_.now());
    if (!election_.reads()) {
        return;
    }
    for (const auto& [address, status] : peers_) {
        if (status.self.data_centre == settings_.data_centre) {
            mesh_.send_store_contact(address);
        }
    }
}

void traffic_plane::elect_store_readers()
{
    const auto now = time_.now();
    const bool before = election_.reads();
    if (election_.update(!drain_.begun(), now) != before) {
        events_.set_store_reader(election_.reads());
    }
    const bool contact = election_.reads_with_contact(now);
    if (std::exchange(store_contact_, contact) != contact) {
        mesh_.schedule_publish();
    }
}

void traffic_plane::drain(std::function<void()> done)
{
    drain_.begin(time_.now());
    drain_done_ = std::move(done);
}

void traffic_plane::check_drained()
{
    if (!drain_done_) {
        return;
    }
    const auto now = time_.now();
    if (drain_.stops_peer_traffic(now) && !std::exchange(leaving_announced_, true)) {
        refresh_members();
        mesh_.publish_status();
    }
    const auto unfinished_callers = callers_.count_unfinished();
    const bool quiet =
        router_.in_progress() == 0 && target_dispatcher_.in_progress() == 0 && unfinished_callers == 0;
    if (drain_.finished(now, quiet)) {
        log(log_level::info, "drained",
            {{"entry_requests", router_.in_progress()},
             {"unfinished_callers", unfinished_callers},
             {"target_requests", target_dispatcher_.in_progress()}});
        callers_.stop_accepting();
        stopped_ = true;
        // Calls may still arrive on open connections until the process exits. They could not finish, so the
        // target dispatcher must refuse them.
        auto target = target_dispatcher_.target();
        target.phase = target_phase::draining;
        target_dispatcher_.set_target(target);
        mesh_.publish_status();
        std::exchange(drain_done_, nullptr)();
    }
}

} // namespace wagtailhatch
