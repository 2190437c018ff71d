#pragma once

#include "include/admission/target_pace.h"
#include "include/call/header_codec.h"
#include "include/config/configuration.h"
#include "include/config/node_settings.h"
#include "include/core/clock.h"
#include "include/core/random_source.h"
#include "include/core/result.h"
#include "include/membership/drain_schedule.h"
#include "include/membership/evacuation.h"
#include "include/membership/store_reader_election.h"
#include "include/membership/target_state.h"
#include "include/observe/metrics.h"
#include "include/quota/fleet_view.h"
#include "src/call/target_dispatcher.h"
#include "src/http1/caller_listener.h"
#include "src/node/entry_router.h"
#include "src/peer/peer_mesh.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace wagtailhatch {

/// A configuration and the document it was parsed from, which is forwarded to peers unchanged.
struct versioned_config {
    std::shared_ptr<const configuration> content;
    std::shared_ptr<const std::string> document;
};

/// Callbacks from the traffic plane to the control plane, called on the traffic thread.
struct traffic_events {
    /// A peer sent a newer configuration.
    std::function<void(std::uint64_t version, std::string document)> peer_config;
    /// Connections to the target's address are refused.
    std::function<void()> target_down;
    /// A response of the target with this id says that it leaves.
    std::function<void(const std::string& id)> target_leaving;
    /// For the first time a node that allocates rates is known: requests can be admitted.
    std::function<void()> rates_known;
    /// Whether this node should follow the store; if false its peers do.
    std::function<void(bool)> set_store_reader;
    /// A peer has told that its process ends.
    std::function<void(const peer_address&, std::uint64_t incarnation)> peer_left = [](const peer_address&,
                                                                                       std::uint64_t) {};
    /// A peer has heard of this era of the store.
    std::function<void(std::uint64_t)> peer_store_era = [](std::uint64_t) {};
};

/// Data plane of a node: connections of callers, links to peers and the connection to the target.
/// Single-threaded.
class traffic_plane final : private peer_mesh_events,
                            private caller_listener_events,
                            private call_dispatcher {
public:
    traffic_plane(asio::io_context& io, const clock& time, node_settings settings, const header_codec& codec,
                  node_metrics& stats, std::uint64_t seed, traffic_events events);
    ~traffic_plane() override;
    traffic_plane(const traffic_plane&) = delete;
    traffic_plane& operator=(const traffic_plane&) = delete;

    /// Opens the listeners. Errors: errc::unavailable with the address.
    result<bool> start();

    void set_configuration(versioned_config config);
    void set_target(const target_state& target);

    /// Applies the evacuated data centres as read from the store, if they are newer than those known.
    void set_evacuation(const evacuation_set& set);
    void add_peers(const std::vector<peer_address>& nodes);
    void forget(const peer_address& node);

    /// The store has told which nodes there are.
    void on_fleet_read();

    /// Sets the newest era of the store that this node has heard of.
    void set_store_era(std::uint64_t era);

    /// Records the end of a store call of the control plane, and whether the store has answered it.
    void on_store_call_end(bool answered);

    /// Starts a graceful shutdown: notifies peers and lets requests in progress finish. Runs done once
    /// nothing is in progress or the shutdown time has expired.
    void drain(std::function<void()> done);

    /// Closes all connections. Handlers that are pending afterwards must run before this object is destroyed,
    /// because they hold requests that refer to it.
    void close();

    /// Of this node's process.
    std::uint64_t incarnation() const { return incarnation_; }

    /// Number of peers with an open link.
    std::size_t peers() const { return mesh_.link_count(); }

    /// Status of this node and the peer states known to it as JSON, for operators.
    std::string status_json() const;

private:
    // peer_mesh_events
    void on_peer_status(const node_status& status) override;
    void on_peer_lost(const peer_address& address) override;
    std::shared_ptr<call_handle> on_peer_call(service_call call, std::shared_ptr<reply_sink> sink) override;
    void on_peer_config(config_message message) override;
    config_message newest_config() const override;
    void on_peer_crash(const crash_report& report) override;
    void on_peer_store_contact(const peer_address& address) override;
    void on_peer_store_era(std::uint64_t era) override;
    node_status own_status() override;
    store_eras own_store_eras() const override { return {store_era_, evacuation_.known().era}; }
    rate_grant on_peer_rate_request(const rate_request& request) override
    {
        return router_.on_rate_request(request);
    }
    void on_peer_rate_grant(const rate_grant& grant) override { router_.on_rate_grant(grant); }
    void on_peers_discovered(const std::vector<peer_address>& addresses) override;

    // caller_listener_events
    void on_request(std::shared_ptr<caller_exchange> exchange) override;
    void on_request_abandoned(const caller_exchange& exchange) override
    {
        router_.record_abandoned(exchange);
    }
    const caller_limits& limits() const override;
    bool draining() const override { return drain_.begun(); }
    void on_accept_failure() override { stats_.callers_not_accepted.add(); }

    // call_dispatcher
    std::shared_ptr<call_handle> dispatch(const member& to, const service_call& call,
                                          std::shared_ptr<reply_sink> sink) override;
    const service_call* running(const std::string& id) const override
    {
        return target_dispatcher_.running(id);
    }
    bool request_rate(const peer_address& allocator, const rate_request& request) override
    {
        return mesh_.request_rate(allocator, request);
    }
    bool admits_deadline(steady_time deadline) const override { return drain_.admits(time_.now(), deadline); }
    void on_downstream_call_end(const std::string& parent, bool failed) override
    {
        target_dispatcher_.on_downstream_call_end(parent, failed);
    }

    void sweep();
    void record_lag(steady_time now);
    void refresh_members();
    std::set<peer_address> current_suspects() const;
    void check_drained();
    void elect_store_readers();
    /// Begins or ends to allocate rates as this node learns of the fleet.
    void check_rate_allocation();
    void update_rate_allocators();
    std::vector<peer_presence> peer_presences() const;
    /// Logs the nodes that allocate rates if they have changed. Called once in each sweep, as many nodes may
    /// change at the same time.
    void log_rate_allocators();
    void report_load();
    /// Limit for a cold target, from the configuration and the settings.
    cold_start_options own_cold_start() const;
    /// Why the own target must not run the call, whatever its load; none if it may.
    refusal_reason refusal_here(const service_call& call) const;
    void on_peer_evacuation(const node_status& status);
    void apply_evacuation(const evacuation_change& change, std::string_view source);
    void end_held_evacuations();
    /// Refuses requests to the own target once the evacuation of its data centre is complete.
    void enforce_evacuation();
    void record_peer_speed(const node_status& status, bool new_target);
    member self() const;

    asio::io_context& io_;
    const clock& time_;
    node_settings settings_;
    const header_codec& codec_;
    node_metrics& stats_;
    random_source random_;
    body_budgets body_memory_; ///< Outlives everything that holds a request.
    traffic_events events_;
    std::uint64_t incarnation_;
    versioned_config config_;
    caller_limits default_limits_;
    target_dispatcher target_dispatcher_;
    peer_mesh mesh_;
    entry_router router_;
    caller_listener callers_;
    asio::steady_timer sweep_timer_;
    std::map<peer_address, node_status> peers_;                ///< Peers with an open link.
    std::map<peer_address, slow_target_detector> peer_speeds_; ///< Of the targets of peers with an open link.
    std::uint64_t reported_invalid_paces_ = 0;                 ///< Already counted in the metric.
    std::set<peer_address> suspects_;            ///< Ready peers that calls avoid: their status is overdue.
    std::uint64_t requested_config_version_ = 0; ///< Newest configuration version requested from a peer.
    steady_time config_requested_at_{};
    steady_time started_{};
    bool allocates_rates_ = false;
    bool fleet_known_ = false; ///< The store or a node that allocates has told which nodes there are.
    fleet_view fleet_view_;
    std::vector<peer_address> rate_allocators_; ///< As last passed to the router, like the next.
    double reachable_fraction_ = 0;
    bool rate_allocators_logged_ = true;
    bool rates_known_ = false; ///< A node that allocates rates has been known.
    store_reader_election election_;
    bool store_contact_ = false;  ///< The last status told peers that this node reads the store.
    std::uint64_t store_era_ = 0; ///< Newest era that this node has heard of.
    drain_schedule drain_;
    evacuation_state evacuation_;
    bool leaving_announced_ = false; ///< Peers have been notified of the shutdown.
    bool stopped_ = false;           ///< Drained: new requests are refused; the process is about to exit.
    std::function<void()> drain_done_;
};

} // namespace wagtailhatch
