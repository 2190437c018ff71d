#include "include/config/config_sync.h"
#include "include/http/http_client.h"
#include "include/platform/http_object_store.h"
#include "include/platform/http_table_service.h"
#include "src/node/control_plane.h"
#include "src/node/table_directory.h"

#include <asio/steady_timer.hpp>

#include <utility>

namespace wagtailhatch {
namespace {

constexpr auto tick_interval = std::chrono::milliseconds{100};
constexpr auto refresh_interval = std::chrono::milliseconds{500};

class local_control_plane final : public control_plane {
public:
    local_control_plane(asio::io_context& io, const clock& time, const node_settings& settings,
                        const peer_address& advertised, std::uint64_t seed, traffic_updates updates)
        : clock_{time}
        , settings_{settings}
        , random_{seed}
        , updates_{std::move(updates)}
        , timer_{io}
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
        return true;
    }

    void start() override
    {
        member self;
        self.id = settings_.instance;
        self.service = settings_.service;
        self.data_centre = settings_.data_centre;
        self.address = address_;
        directory_ = std::make_unique<table_directory>(
            *table_, self, [this](const std::shared_ptr<const member_lists>& lists) { publish(lists); });
        directory_->join([this](std::uint64_t incarnation) {
            updates_.activate({settings_.instance, incarnation, address_});
            directory_->refresh();
        });
        start_configuration();
        tick();
    }

    void follow(const std::string&) override {}

    void target_changed(bool ready, bool draining) override
    {
        set_state(draining ? member_state::leaving : ready ? member_state::ready : member_state::joining);
    }

    void peer_lost(const peer_address&) override {}

    void config_request(const std::string& payload, std::function<void(std::string)> respond) override
    {
        if (auto answer = sync_->on_request(payload)) {
            respond(std::move(*answer));
        }
    }

    void announce_leaving() override { set_state(member_state::leaving); }

    void leave(duration, std::function<void()> done) override
    {
        directory_->set_state(member_state::left, std::move(done));
    }

private:
    void set_state(member_state state)
    {
        status_.membership = to_string(state);
        updates_.status_changed(status_);
        directory_->set_state(state, [this] { directory_->refresh(); });
    }

    void start_configuration()
    {
        config_sync_options options;
        options.self = {settings_.instance, settings_.data_centre, address_};
        options.seeds = settings_.seeds;
        sync_ = std::make_unique<config_sync>(options, clock_, random_, updates_.send_config, *table_,
                                              *objects_, [this](std::shared_ptr<const configuration> config) {
                                                  updates_.configuration_changed(std::move(config));
                                              });
        sync_->on_stale([this](bool stale) { updates_.stale_changed(stale); });
        sync_->start();
    }

    void publish(const std::shared_ptr<const member_lists>& lists)
    {
        std::vector<config_peer> peers;
        for (const auto& [service, members] : *lists) {
            for (const auto& m : members) {
                if (m.id != settings_.instance) {
                    peers.push_back({m.id, m.data_centre, m.address});
                }
            }
        }
        sync_->set_peers(std::move(peers));
        updates_.members_changed(lists);
    }

    void tick()
    {
        sync_->tick();
        const auto now = clock_.now();
        if (now - refreshed_ > refresh_interval) {
            refreshed_ = now;
            directory_->refresh();
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
    peer_address address_;
    std::unique_ptr<http_client> client_;
    std::unique_ptr<table_service> table_;
    std::unique_ptr<object_store> objects_;
    std::unique_ptr<table_directory> directory_;
    std::unique_ptr<config_sync> sync_;
    control_status status_{0, "joining", {}, 0, 0};
    steady_time refreshed_{};
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
