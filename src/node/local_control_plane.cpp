#include "include/config/config_sync.h"
#include "include/http/http_client.h"
#include "include/membership/membership_service.h"
#include "include/observe/logging.h"
#include "include/ownership/gone_instances.h"
#include "include/peer/make_datagram_transport.h"
#include "include/platform/http_object_store.h"
#include "include/platform/http_table_service.h"
#include "src/node/control_plane.h"

#include <asio/steady_timer.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace wagtailhatch {
namespace {

constexpr auto tick_interval = std::chrono::milliseconds{100};
constexpr duration status_interval = std::chrono::milliseconds{500};
// With few services a node follows all of them, so that any node is a useful entry for every route.
constexpr std::size_t follow_all_up_to = 16;

class local_control_plane final : public control_plane {
public:
    local_control_plane(asio::io_context& io, const clock& time, const node_settings& settings,
                        const peer_address& advertised, std::uint64_t seed, traffic_updates updates)
        : clock_{time}
        , settings_{settings}
        , random_{seed}
        , updates_{std::move(updates)}
        , timer_{io}
        , leave_timer_{io}
        , address_{advertised}
    {
    }

    result<bool> open(asio::io_context& io)
    {
        auto client = make_http_client(io, {});
        if (!client) {
            return client.failure();
        }
        client_ = std::move(*client);
        table_ = make_http_table_service(*client_, settings_.platform);
        objects_ = make_http_object_store(*client_, settings_.platform);
        datagram_options options;
        options.listen_address = settings_.peers.ip;
        options.port = port_of(address_);
        options.advertised_address = address_;
        options.secret = settings_.peer_secret;
        options.incarnation = static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::microseconds>(clock_.wall_now().time_since_epoch())
                .count());
        auto datagrams = make_datagram_transport(io, clock_, options);
        if (!datagrams) {
            return error{datagrams.failure().code, "setting peers (UDP): " + datagrams.failure().detail};
        }
        datagrams_ = std::move(*datagrams);
        return true;
    }

    void start() override
    {
        membership_options options;
        options.id = settings_.instance;
        options.service = settings_.service;
        options.data_centre = settings_.data_centre;
        options.address = address_;
        options.seeds = settings_.seeds;
        membership_ = std::make_unique<membership_service>(options, clock_, random_, *datagrams_, *table_);
        membership_->on_change(
            [this](const std::shared_ptr<const membership_view>& view) { publish(*view); });
        gone_ = std::make_unique<gone_instance_reader>(
            *table_, clock_, random_,
            [this](const gone_instance& gone) { updates_.instance_ended(gone.id, gone.incarnation); });
        membership_->start();
        start_configuration();
        tick();
    }

    void follow(const std::string& service) override
    {
        if (service != settings_.service) {
            membership_->follow(service);
        }
    }

    void target_changed(bool ready, bool draining) override
    {
        if (!leaving_) {
            set_state(draining ? member_state::leaving : ready ? member_state::ready : member_state::joining);
        }
    }

    void peer_lost(const peer_address& address) override { membership_->report_unreachable(address); }

    void config_request(const std::string& payload, std::function<void(std::string)> respond) override
    {
        if (auto answer = sync_->on_request(payload)) {
            respond(std::move(*answer));
        }
    }

    void announce_leaving() override
    {
        leaving_ = true;
        set_state(member_state::leaving);
    }

    void leave(duration limit, std::function<void()> done) override
    {
        const auto once = std::make_shared<std::function<void()>>(std::move(done));
        const auto finish = [once] {
            if (auto f = std::exchange(*once, nullptr)) {
                f();
            }
        };
        membership_->leave([finish](bool) { finish(); });
        leave_timer_.expires_after(limit);
        leave_timer_.async_wait([finish](const std::error_code&) { finish(); });
    }

private:
    static std::uint16_t port_of(const peer_address& address)
    {
        return static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
    }

    void set_state(member_state state)
    {
        membership_->set_state(state);
        log(log_level::info, "state changed", {{"state", to_string(state)}});
        status_.membership = to_string(state);
        updates_.status_changed(status_);
    }

    void start_configuration()
    {
        config_sync_options options;
        options.self = {settings_.instance, settings_.data_centre, address_};
        options.seeds = settings_.seeds;
        sync_ = std::make_unique<config_sync>(
            options, clock_, random_, updates_.send_config, *table_, *objects_,
            [this](std::shared_ptr<const configuration> config) { apply(std::move(config)); });
        sync_->on_stale([this](bool stale) { updates_.stale_changed(stale); });
        sync_->start();
    }

    void apply(std::shared_ptr<const configuration> config)
    {
        log(log_level::info, "configuration in force", {{"version", config->version}});
        const auto own = config->services.find(settings_.service);
        for (const auto& [name, service] : config->services) {
            const bool called = own != config->services.end() &&
                                std::find(own->second.calls.begin(), own->second.calls.end(), name) !=
                                    own->second.calls.end();
            if (called || config->services.size() <= follow_all_up_to) {
                follow(name);
            }
        }
        updates_.configuration_changed(std::move(config));
    }

    void publish(const membership_view& view)
    {
        auto lists = std::make_shared<member_lists>(view.services);
        std::vector<config_peer> peers;
        for (const auto& [service, members] : *lists) {
            for (const auto& m : members) {
                note_ended(m);
                const bool live = m.state != member_state::dead && m.state != member_state::left;
                if (live && m.id != settings_.instance) {
                    peers.push_back({m.id, m.data_centre, m.address});
                }
            }
        }
        sync_->set_peers(std::move(peers));
        updates_.members_changed(std::move(lists));
    }

    // A member that left, or an incarnation that another one replaced, cannot act any more.
    void note_ended(const member& m)
    {
        auto& known = incarnations_[m.id];
        if (known != 0 && m.incarnation > known) {
            updates_.instance_ended(m.id, known);
        }
        known = std::max(known, m.incarnation);
        if (m.state == member_state::left) {
            updates_.instance_ended(m.id, m.incarnation);
        }
    }

    void tick()
    {
        membership_->tick();
        sync_->tick();
        gone_->tick();
        if (!active_ && membership_->joined()) {
            active_ = true;
            updates_.activate({settings_.instance, membership_->self().incarnation, address_});
            log(log_level::info, "joined", {{"incarnation", membership_->self().incarnation}});
        }
        if (!leaving_ && membership_->superseded()) {
            log(log_level::error, "another process has taken over this instance id; refusing new work");
            announce_leaving();
        }
        const auto now = clock_.now();
        if (now - reported_ > status_interval) {
            reported_ = now;
            report_status();
        }
        timer_.expires_after(tick_interval);
        timer_.async_wait([this](const std::error_code& failure) {
            if (!failure) {
                tick();
            }
        });
    }

    void report_status()
    {
        const auto s = sync_->status();
        status_.version = s.published;
        status_.problem = s.problem;
        status_.platform_reads = s.platform_reads;
        status_.control_bytes = s.bytes_sent + s.bytes_received;
        updates_.status_changed(status_);
    }

    const clock& clock_;
    node_settings settings_;
    random_source random_;
    traffic_updates updates_;
    asio::steady_timer timer_;
    asio::steady_timer leave_timer_;
    peer_address address_;
    std::unique_ptr<http_client> client_;
    std::unique_ptr<table_service> table_;
    std::unique_ptr<object_store> objects_;
    std::unique_ptr<datagram_transport> datagrams_;
    std::unique_ptr<membership_service> membership_;
    std::map<std::string, std::uint64_t> incarnations_; ///< Highest seen, by instance id.
    std::unique_ptr<config_sync> sync_;
    std::unique_ptr<gone_instance_reader> gone_;
    control_status status_{0, "joining", {}, 0, 0};
    steady_time reported_{};
    bool active_ = false;
    bool leaving_ = false;
};

} // namespace

result<std::unique_ptr<control_plane>> make_control_plane(asio::io_context& io, const clock& time,
                                                          const node_settings& settings,
                                                          const peer_address& advertised, std::uint64_t seed,
                                                          traffic_updates updates)
{
    auto plane =
        std::make_unique<local_control_plane>(io, time, settings, advertised, seed, std::move(updates));
    if (auto opened = plane->open(io); !opened) {
        return opened.failure();
    }
    return std::unique_ptr<control_plane>{std::move(plane)};
}

} // namespace wagtailhatch
