#pragma once

#include "include/core/random_source.h"
#include "include/http/http_client.h"
#include "include/http/http_server.h"
#include "include/ownership/slot_service.h"
#include "include/platform/table_service.h"
#include "src/node/call_router.h"
#include "src/node/call_server.h"
#include "src/node/entry_handler.h"
#include "src/node/outgoing_handler.h"
#include "src/node/telemetry.h"
#include "src/node/traffic_plane.h"

#include <asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>

namespace wagtailhatch {

/// The traffic plane of a node process.
class local_traffic_plane final : public traffic_plane, private message_sender {
public:
    local_traffic_plane(asio::io_context& io, const clock& time, const node_settings& settings,
                        std::uint64_t seed, control_requests control);
    ~local_traffic_plane() override;
    local_traffic_plane(const local_traffic_plane&) = delete;
    local_traffic_plane& operator=(const local_traffic_plane&) = delete;

    /// Opens listeners and clients; true or the first failure.
    result<bool> open();

    node_ports ports() const override;
    peer_transport& peers() override { return *peers_; }
    void activate(const node_ref& self) override;
    void set_configuration(const std::shared_ptr<const configuration>& config) override;
    void set_members(const std::shared_ptr<const member_lists>& members) override;
    void report_ended(const std::string& id, std::uint64_t incarnation) override;
    void set_stale(bool stale) override;
    void set_control_status(const control_status& status) override { control_status_ = status; }
    void drain(duration limit, std::function<void()> done) override;

private:
    void request(const peer_address& to, channel c, std::string payload, duration timeout,
                 std::function<void(peer_reply)> done) override;
    result<bool> open_listeners();
    void create_calls();
    void install_peer_handlers();
    void serve_call(const std::shared_ptr<peer_request>& request);
    void serve_group(const std::shared_ptr<peer_request>& request);
    void tell_group(const std::string& payload);
    void apply_configuration();
    void apply_members();
    void handle_admin(http_exchange& exchange);
    std::string status_json();
    void tick();
    void wait_until_idle();
    bool idle() const;

    asio::io_context& io_;
    const clock& clock_;
    node_settings settings_;
    random_source random_;
    control_requests control_;
    asio::steady_timer tick_timer_;
    std::unique_ptr<http_client> target_client_;
    std::unique_ptr<http_client> platform_client_;
    std::unique_ptr<telemetry> telemetry_;
    std::unique_ptr<table_service> table_;
    std::unique_ptr<peer_transport> peers_;
    std::unique_ptr<call_router> router_;
    std::unique_ptr<call_server> server_;
    std::unique_ptr<slot_service> slots_;
    std::unique_ptr<entry_handler> entry_;
    std::unique_ptr<outgoing_handler> outgoing_;
    std::unique_ptr<http_server> callers_listener_;
    std::unique_ptr<http_server> local_listener_;
    std::unique_ptr<http_server> admin_listener_;
    std::shared_ptr<const configuration> config_;
    std::shared_ptr<const member_lists> members_;
    std::optional<node_ref> self_;
    control_status control_status_;
    bool stale_ = false;
    bool draining_ = false;
    bool slots_handed_over_ = false;
    steady_time drain_until_{};
    std::function<void()> drained_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace wagtailhatch
