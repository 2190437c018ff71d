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

/// What one node tells the others about one workspace.
struct workspace_usage {
    std::string workspace;
    double per_second = 0;     ///< Demand of its callers, refused requests included.
    std::int64_t admitted = 0; ///< Since the node started.

    bool operator==(const workspace_usage&) const = default;
};

struct usage_report {
    bool whole = true; ///< Lists every workspace that has had requests; else those whose use has changed.
    std::vector<workspace_usage> workspaces;

    bool operator==(const usage_report&) const = default;
};

struct rate_share_options {
    double overage = 0.1;    ///< Part of a rate that all nodes together may go beyond it.
    double burst_part = 0.6; ///< Part of a burst that is spent freely; the rest covers reports on their way.
    double spare_requests = 10; ///< That may be spent beyond rate and burst, over all nodes.
    duration window = std::chrono::milliseconds{500}; ///< Over which demand is measured.
};

/// Holds all nodes together to the rate and burst of each workspace, without a node that divides them. Each
/// node keeps its own view of the workspace's one token bucket: it takes out what it admits itself at once,
/// and what the others admitted as they report it. While the bucket holds more than the others' demand may
/// take before their next reports, every request is admitted, so that uneven or sparse demand is never
/// refused. Below that reserve a node admits the part of the rate that its demand has in the demand of all
/// nodes, less while the bucket is overdrawn, and nothing while it is far overdrawn.
///
/// A node that falls silent keeps the part of rate and burst that its demand had before, because its callers
/// may still reach it: the sides of a network partition divide the bucket by the demand from before the
/// partition, which is the last that both know. One thread.
class rate_share {
public:
    explicit rate_share(rate_share_options options);

    /// New workspaces begin with an empty bucket, which fills from now on.
    void set_configuration(const configuration& config, steady_time now);

    /// Nodes that exist, this one included.
    void set_node_count(std::size_t nodes) { nodes_ = nodes == 0 ? 1 : nodes; }

    void on_peer_usage(const peer_address& peer, std::uint64_t incarnation, const usage_report& report,
                       steady_time now);
    void forget_peer(const peer_address& peer) { peers_.erase(peer); }

    /// Counts a request and takes one out of the bucket; false if the node has no share left.
    bool admit(std::string_view workspace, steady_time now);

    /// An admitted request did not run after all.
    void refund(std::string_view workspace);

    /// When this node's share has room again.
    duration retry_after(std::string_view workspace) const;

    /// What to tell all others now: what has changed since the last report, and everything from time to time,
    /// so that a report that was lost on the way is made up for.
    usage_report report(steady_time now);

    /// What to tell a node that has heard nothing of this one yet.
    usage_report whole_report() const;

    /// Whether enough was admitted since the last report that the others should know at once.
    bool report_due() const { return report_due_; }

private:
    /// Demand at the last moments at which all nodes were heard.
    struct settled_demand {
        double value = 0;     ///< At least one interval old.
        double candidate = 0; ///< Becomes the value unless a node falls silent meanwhile.

        void advance(double now)
        {
            value = candidate;
            candidate = now;
        }
    };
    struct bucket {
        double rate = 0;
        double depth = 0;
        double level = 0;   ///< Tokens in this node's view.
        double dropped = 0; ///< Tokens that came in a moment ago while the bucket was full.
        double reserve = 0; ///< Tokens that the other nodes may take before their reports arrive.
        double share = 1;   ///< Part of the rate that falls to this node below the reserve.
        double reach = 1;   ///< Part of the demand that is on this side of a partition.
        double credit = 0;  ///< Requests that this node may admit below the reserve.
        steady_time filled{};
        double arrived = 0; ///< In the current window.
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
        bool listed = false; ///< In the report that is being read.
        settled_demand settled;
    };
    struct peer {
        std::uint64_t incarnation = 0;
        steady_time heard{};
        string_map<peer_usage> usage;
    };

    static bool changed(const bucket& b);
    double most_credit_of(const bucket& b) const;
    /// Takes what a peer admitted since its last report; steady: what its demand explains.
    static void take_reported(bucket& b, double admitted, double steady);
    void roll_window(bucket& b, steady_time now) const;
    void refill(std::string_view workspace, bucket& b, steady_time now);
    bool any_silent(steady_time now) const;
    void settle_demand(steady_time now);
    double reach_of(std::string_view workspace, const bucket& b, steady_time now) const;
    void update_shares(std::string_view workspace, bucket& b, steady_time now) const;

    rate_share_options options_;
    string_map<bucket> buckets_;
    std::unordered_map<peer_address, peer> peers_;
    std::size_t nodes_ = 1;
    steady_time started_{}; ///< First request.
    steady_time settled_{}; ///< Last time demands were advanced, or a node was silent.
    std::uint32_t reports_ = 0;
    bool report_due_ = false;
};

} // namespace wagtailhatch
