#pragma once

#include "include/config/configuration.h"
#include "include/core/clock.h"
#include "include/core/string_map.h"
#include "include/membership/member.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace wagtailhatch {

/// Usage of one workspace as one node reports it to its peers.
struct workspace_usage {
    std::string workspace;
    double per_second = 0;     ///< Demand of the callers, refused requests included.
    std::int64_t admitted = 0; ///< Requests since the node started.

    bool operator==(const workspace_usage&) const = default;
};

struct usage_report {
    bool full = true; ///< Lists every workspace that has had requests; otherwise only changes.
    std::vector<workspace_usage> workspaces;

    bool operator==(const usage_report&) const = default;
};

struct rate_share_options {
    double overage = 0.1; ///< Fraction by which all nodes together may exceed a rate.
    /// Fraction of a burst that is spent freely; the rest covers reports in flight.
    double burst_fraction = 0.6;
    double spare_requests = 10;                       ///< Allowed beyond rate and burst, over all nodes.
    duration window = std::chrono::milliseconds{500}; ///< Measurement interval of demand.
};

/// Distributed token bucket: holds all nodes together to the rate and burst of each workspace, without a
/// coordinator. Each node keeps a local view of the workspace's single bucket, from which it deducts its own
/// admissions immediately and those of its peers when they report them. While the bucket holds more than the
/// peers' demand may take before their next reports (the reserve), every request is admitted, so that uneven
/// or sparse demand is never refused. Below the reserve a node admits the fraction of the rate that its
/// demand has in the demand of all nodes, less while the bucket is overdrawn, and nothing while it is far
/// overdrawn.
///
/// A node that becomes silent keeps the fraction of rate and burst that its demand had before, because its
/// callers may still reach it: the sides of a network partition divide the bucket by the demand from before
/// the partition, which is the last that both know. Not thread-safe.
class rate_share {
public:
    explicit rate_share(rate_share_options options);

    /// Buckets of new workspaces start empty and fill from `now` on.
    void set_configuration(const configuration& config, steady_time now);

    /// Number of existing nodes, this one included.
    void set_node_count(std::size_t nodes) { nodes_ = nodes == 0 ? 1 : nodes; }

    void on_peer_usage(const peer_address& peer, std::uint64_t incarnation, const usage_report& report,
                       steady_time now);
    void forget_peer(const peer_address& peer) { peers_.erase(peer); }

    /// Counts a request and takes one token; returns false if this node has no share left. Workspaces that
    /// are unknown or have no rate are not limited.
    bool admit(std::string_view workspace, steady_time now);

    /// Returns the token of an admitted request that was not executed.
    void refund(std::string_view workspace);

    /// Time until this node's share admits another request, at most one second.
    duration retry_after(std::string_view workspace) const;

    /// Returns the report to send to all peers now: the changes since the last report, and periodically
    /// everything, to make up for lost reports.
    usage_report report(steady_time now);

    /// Returns the report for a node that has not received any from this one yet.
    usage_report full_report() const;

    /// Whether enough was admitted since the last report that the peers should be notified immediately.
    bool report_due() const { return report_due_; }

private:
    /// Samples of the demand from the last times at which no peer was silent.
    struct settled_demand {
        double value = 0;     ///< At least one settle interval old.
        double candidate = 0; ///< Becomes the value unless a peer becomes silent meanwhile.

        void advance(double demand)
        {
            value = candidate;
            candidate = demand;
        }
    };
    struct bucket {
        double rate = 0;
        double depth = 0;
        double level = 0;              ///< Tokens in this node's view; negative if overdrawn.
        double dropped = 0;            ///< Tokens recently discarded because the bucket was full.
        double reserve = 0;            ///< Tokens that peers may take before their reports arrive.
        double share = 1;              ///< Fraction of the rate for this node below the reserve.
        double reachable_fraction = 1; ///< Fraction of the demand on this side of a partition.
        double credit = 0;             ///< Requests that this node may admit below the reserve.
        steady_time last_refill{};
        double arrived = 0; ///< Requests in the current window.
        steady_time window_start{};
        double per_second = 0;
        std::int64_t admitted = 0;
        std::int64_t reported = 0;
        double reported_per_second = 0;
        bool used = false;
        settled_demand settled;
    };
    struct peer_usage {
        double per_second = 0;
        std::int64_t admitted = 0;
        bool listed = false; ///< Present in the report being processed.
        settled_demand settled;
    };
    struct peer {
        std::uint64_t incarnation = 0;
        steady_time last_report_time{};
        string_map<peer_usage> usage;
    };

    static bool changed(const bucket& b);
    double max_credit_of(const bucket& b) const;
    /// Deducts what a peer admitted since its last report. steady: admissions that its demand explains.
    static void deduct_reported(bucket& b, double admitted, double steady);
    void roll_window(bucket& b, steady_time now) const;
    void refill(std::string_view workspace, bucket& b, steady_time now);
    bool any_silent(steady_time now) const;
    void settle_demand(steady_time now);
    double reachable_fraction_of(std::string_view workspace, const bucket& b, steady_time now) const;
    void update_shares(std::string_view workspace, bucket& b, steady_time now) const;

    rate_share_options options_;
    string_map<bucket> buckets_;
    std::unordered_map<peer_address, peer> peers_;
    std::size_t nodes_ = 1;
    steady_time started_{};    ///< Time of the first request.
    steady_time settled_at_{}; ///< Last time samples were advanced, or a peer was silent.
    std::uint32_t reports_ = 0;
    bool report_due_ = false;
};

} // namespace wagtailhatch
