#pragma once

#include "include/config/config_follower.h"
#include "include/config/node_settings.h"
#include "include/core/clock.h"
#include "include/core/result.h"
#include "include/http/http_client.h"
#include "include/http/http_server.h"
#include "include/membership/node_registry.h"
#include "include/membership/target_tracker.h"
#include "include/observe/metrics.h"
#include "include/store/row_store.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace wagtailhatch {

/// What the control plane tells the traffic plane; each may be called on the control thread.
struct control_events {
    std::function<void(std::shared_ptr<const configuration>, std::shared_ptr<const std::string>)> config;
    /// done runs on the control thread once the state is in force.
    std::function<void(const target_state&, std::function<void()> done)> target;
    std::function<void(const std::vector<peer_address>&)> found;
    std::function<void(const peer_address&)> removed;
    /// The store is reached again, or no longer.
    std::function<void(bool)> store_contact;
    /// Answers on the control thread with what the traffic plane believes.
    std::function<void(std::function<void(std::string)>)> status;
};

/// Everything beside the requests: readiness, the target's announcements, the store and metrics. One thread.
class control_plane {
public:
    control_plane(asio::io_context& io, const clock& time, node_settings settings, metrics& numbers,
                  control_events events);
    ~control_plane();
    control_plane(const control_plane&) = delete;
    control_plane& operator=(const control_plane&) = delete;

    /// Opens the listeners and begins to follow the store. Errors: errc::unavailable with the address.
    result<bool> start();

    /// From now on callers are told to go elsewhere.
    void begin_stop();

    /// Removes what only a running node leaves in the store.
    void leave(std::function<void()> done);

    /// A peer holds this configuration.
    void offer_config(const std::string& document);

    /// Whether this node follows the store or hears of changes from its peers.
    void read_store(bool reads);

    /// Nobody listens at the target's address.
    void target_down();

    /// The settings file has changed.
    void set_seeds(const std::vector<peer_address>& seeds) { events_.found(seeds); }

private:
    void serve_readiness(http_exchange& exchange) const;
    void serve_target(const std::shared_ptr<http_exchange>& exchange);
    void serve_metrics(const std::shared_ptr<http_exchange>& exchange);
    result<bool> listen(const std::string& address, http_server::handler handler);
    void announce(const std::shared_ptr<http_exchange>& exchange, const std::string& id);
    void apply_target(const std::shared_ptr<http_exchange>& exchange);
    void count_refused(const std::string& why);
    void probe_target();

    asio::io_context& io_;
    const clock& time_;
    node_settings settings_;
    metrics& numbers_;
    control_events events_;
    std::unique_ptr<http_client> http_;
    std::unique_ptr<row_store> client_; ///< Of the platform's store.
    std::unique_ptr<row_store> store_;  ///< The same, with its calls counted.
    std::unique_ptr<config_follower> config_;
    std::unique_ptr<node_registry> registry_;
    std::vector<std::unique_ptr<http_server>> servers_;
    target_tracker target_;
    std::string health_path_;
    bool probed_ = false;
    bool stopping_ = false;
    std::uint64_t refused_calls_ = 0; ///< Announcements that could not be read or were foreign.
    steady_time refused_logged_{};
};

} // namespace wagtailhatch
