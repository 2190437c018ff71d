#pragma once

#include "include/config/config_follower.h"
#include "include/config/node_settings.h"
#include "include/core/clock.h"
#include "include/core/result.h"
#include "include/http/http_client.h"
#include "include/http/http_server.h"
#include "include/membership/evacuation.h"
#include "include/membership/node_registry.h"
#include "include/membership/target_tracker.h"
#include "include/observe/metrics.h"
#include "include/store/row_store.h"
#include "include/store/store_era.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace wagtailhatch {

/// Callbacks from the control plane to the traffic plane. All are called on the control thread.
struct control_events {
    /// A new configuration, with the document it was parsed from.
    std::function<void(std::shared_ptr<const configuration>, std::shared_ptr<const std::string>)> config;
    /// The evacuated data centres as read from the store. Called before the configuration that was read with
    /// them.
    std::function<void(const evacuation_set&)> evacuation;
    /// A new target state. done runs on the control thread once the state is in effect.
    std::function<void(const target_state&, std::function<void()> done)> target;
    /// Peers discovered in the store or listed as seeds.
    std::function<void(const std::vector<peer_address>&)> found;
    /// All rows of the nodes have been read, and their addresses passed to found().
    std::function<void()> fleet_read;
    /// A peer's row was removed from the store.
    std::function<void(const peer_address&)> removed;
    /// A newer era of the store is known.
    std::function<void(std::uint64_t)> store_era;
    /// A call of the configuration's follower has ended; true if the store has answered it.
    std::function<void(bool)> store_call_end;
    /// Requests the status of the traffic plane as JSON, delivered on the control thread.
    std::function<void(std::function<void(std::string)>)> status;
};

/// Control plane of a node: readiness check, announcements of the target, store access and the metrics
/// endpoint. Single-threaded.
class control_plane {
public:
    /// incarnation: of this node's process.
    control_plane(asio::io_context& io, const clock& time, node_settings settings, std::uint64_t incarnation,
                  metrics& stats, control_events events);
    ~control_plane();
    control_plane(const control_plane&) = delete;
    control_plane& operator=(const control_plane&) = delete;

    /// Opens the listeners and starts following the store. On failure returns an error that names the
    /// address.
    result<bool> start();

    /// Makes the readiness check fail, so that callers switch to other nodes.
    void begin_stop();

    /// Removes this node's row from the store; done runs afterwards.
    void leave(std::function<void()> done);

    /// Applies a configuration document received from a peer if it is valid and newer.
    void offer_config(const std::string& document);

    /// Selects whether this node reads the store itself or gets changes from its peers.
    void set_store_reader(bool reads);

    /// A node that allocates rates is known. Until then this node would refuse most requests and is not
    /// ready.
    void on_rates_known() { rates_known_ = true; }

    /// Logs that connections to the target's address are refused.
    void target_down();

    /// Records that the target with this id has said in a response that it leaves.
    void on_target_leaving(const std::string& id);

    /// A peer has heard of this era of the store.
    void on_peer_store_era(std::uint64_t era) { store_era_.record(era); }

    /// A peer has ended for good.
    void on_peer_left(const peer_address& address, std::uint64_t incarnation)
    {
        registry_->on_node_left(address, incarnation);
    }

    /// Applies the seeds of a changed settings file.
    void set_seeds(const std::vector<peer_address>& seeds) { events_.found(seeds); }

private:
    void on_store_era(std::uint64_t era, std::uint64_t before);
    void serve_readiness(http_exchange& exchange) const;
    void serve_control(const std::shared_ptr<http_exchange>& exchange);
    void serve_metrics(const std::shared_ptr<http_exchange>& exchange);
    result<bool> listen(const std::string& address, http_server::handler handler);
    void announce(const std::shared_ptr<http_exchange>& exchange, const std::string& id);
    void apply_target(const std::shared_ptr<http_exchange>& exchange);
    void count_refused(const std::string& why);
    /// Asks the target for its health if its state is not known for certain. Repeats this while an
    /// announcement waits for it.
    void probe_target();
    void on_probe_result(const http_result& result);

    asio::io_context& io_;
    const clock& time_;
    node_settings settings_;
    std::uint64_t incarnation_;
    metrics& stats_;
    control_events events_;
    std::unique_ptr<http_client> http_;
    store_era store_era_;
    std::unique_ptr<row_store> client_; ///< Client of the platform's store.
    std::unique_ptr<row_store> store_;  ///< Wraps client_ and counts its calls.
    std::unique_ptr<config_follower> config_;
    evacuation_rows evacuation_;
    std::unique_ptr<node_registry> registry_;
    std::vector<std::unique_ptr<http_server>> servers_;
    target_tracker target_;
    std::string health_path_;
    asio::steady_timer probe_timer_;
    bool probing_ = false;
    bool stopping_ = false;
    bool rates_known_ = false;
    std::uint64_t refused_calls_ = 0; ///< Malformed or unknown control calls, and those of foreign targets.
    steady_time refused_logged_{};
};

} // namespace wagtailhatch
