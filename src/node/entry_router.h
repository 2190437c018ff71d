#pragma once

#include "include/call/header_codec.h"
#include "include/call/service_call.h"
#include "include/config/configuration.h"
#include "include/config/node_settings.h"
#include "include/core/clock.h"
#include "include/core/random_source.h"
#include "include/core/string_map.h"
#include "include/quota/rate_limiter.h"
#include "include/retry/chain_limiter.h"
#include "include/retry/retry_budget.h"
#include "include/routing/balancer.h"
#include "src/http1/caller_exchange.h"
#include "src/node/node_metrics.h"
#include "src/node/routing_snapshot.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailhatch {

class entry_call;

/// Dispatches calls to the node of the chosen instance.
class call_dispatcher {
public:
    virtual ~call_dispatcher() = default;

    /// Sends the call. Returns nullptr if the instance cannot be reached now. Never calls the sink before it
    /// returns.
    virtual std::shared_ptr<call_handle> dispatch(const member& to, const service_call& call,
                                                  std::shared_ptr<reply_sink> sink) = 0;

    /// Returns the request with that id if this node's own target is running it, else nullptr.
    virtual const service_call* running(const std::string& id) const = 0;

    /// Requests tokens of a workspace's rate from the node that allocates it; false if there is no link to
    /// it.
    virtual bool request_rate(const peer_address& allocator, const rate_request& request) = 0;

    /// Whether a new request of a caller that ends by this deadline is taken on: a stopping node may exit
    /// before.
    virtual bool admits_deadline(steady_time deadline) const = 0;

    /// Reports the end of a call that this node's own target made while it ran the request `parent`.
    virtual void on_downstream_call_end(const std::string& parent, bool failed) = 0;
};

/// A service whose targets reject a part of everything, as one node sees it.
struct rejecting_service {
    std::string name;
    double share = 0;      ///< Rejected share of arrivals.
    bool shedding = false; ///< The entries are asked to shed chains that call it.
};

/// Estimated load of a service whose targets report a pace, for status reports.
struct estimated_load_status {
    std::string service;
    double spread = 0;        ///< Mean absolute deviation of the utilisation over the targets.
    double leaving_share = 0; ///< Share of this node's requests that goes to other data centres.
};

/// Request router of an entry node: matches the route, checks the key and the rate limit, chooses service and
/// instance, and retries failed attempts. Single-threaded.
class entry_router {
public:
    entry_router(asio::io_context& io, const clock& time, random_source& random, const header_codec& codec,
                 const node_settings& settings, node_metrics& stats, call_dispatcher& dispatcher);
    ~entry_router();
    entry_router(const entry_router&) = delete;
    entry_router& operator=(const entry_router&) = delete;

    void handle(std::shared_ptr<caller_exchange> exchange);

    /// Counts and logs a request that is not started because its caller has disconnected.
    void record_abandoned(const caller_exchange& exchange);

    void set_configuration(std::shared_ptr<const configuration> config);
    const configuration* config() const { return snapshot_ ? &snapshot_->config() : nullptr; }

    /// Sets the currently reachable instances of all services.
    void set_members(std::span<const member> members);
    void set_node_count(std::size_t nodes);

    /// Sets the data centres that are evacuated.
    void set_evacuated(std::span<const evacuated_data_centre> evacuated);

    /// Returns the lowest admission level among the services that this node's own target calls for requests
    /// of this route.
    admit_level path_pressure(std::string_view route) const;

    /// State of the services whose targets reject a part of everything.
    std::vector<rejecting_service> rejecting_services() const;

    /// Formats the admission level of each route's call chain, for logs.
    std::string format_pressure() const;

    /// Services with an estimated load, as of the last sweep().
    std::vector<estimated_load_status> estimated_loads() const;

    /// Sets the nodes that may allocate rates, and the fraction of all nodes that are reachable.
    void set_rate_allocators(std::span<const peer_address> nodes, double reachable_fraction);
    rate_grant on_rate_request(const rate_request& request);
    void on_rate_grant(const rate_grant& grant);

    /// Call several times a second.
    void sweep();
    std::size_t in_progress() const { return in_progress_; }

    /// Handles a load report that did not arrive with an answer.
    void on_load_report(const member& of, const load_report& load);

private:
    friend class entry_call;

    struct service_state {
        explicit service_state(const balancer_options& options, random_source& random,
                               const retry_budget_options& budget)
            : targets{options, random}
            , retries{budget}
        {
        }
        balancer targets;
        retry_budget retries;
        chain_limiter chains{retries};
        bool rejecting_logged = false;
        bool shedding_logged = false;
        std::optional<gauge_metric> load_spread; ///< Empty until the load is estimated for the first time.
        std::optional<estimated_load_status> load_status; ///< As of the last sweep().
    };

    service_state& service(std::string_view name);
    void apply_configuration(std::string_view name, service_state& state) const;
    void log_rejections();
    void report_load_estimate(const std::string& name, service_state& state);
    void poll_waiting_rates();

    asio::io_context& io_;
    const clock& time_;
    random_source& random_;
    const header_codec& codec_;
    const node_settings& settings_;
    node_metrics& stats_;
    call_dispatcher& dispatcher_;
    std::shared_ptr<routing_snapshot>
        snapshot_; ///< Of the configuration in force; empty before the first one.
    string_map<std::unique_ptr<service_state>> services_;
    std::vector<member> members_;
    std::vector<evacuated_data_centre> evacuated_;
    rate_limiter rates_;
    asio::steady_timer rate_timer_; ///< Runs while requests wait for tokens.
    bool rate_timer_running_ = false;
    std::size_t nodes_ = 1;
    std::size_t in_progress_ = 0;
};

} // namespace wagtailhatch
