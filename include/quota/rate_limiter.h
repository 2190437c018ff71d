#pragma once

#include "include/config/configuration.h"
#include "include/core/clock.h"
#include "include/core/string_map.h"
#include "include/membership/member.h"
#include "include/quota/allocator_ring.h"
#include "include/quota/rate_allocator.h"
#include "include/quota/rate_tokens.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <span>
#include <string>
#include <string_view>

namespace wagtailhatch {

struct rate_decision {
    bool admitted = false;
    duration retry_after{}; ///< Set if the request is refused.
};

/// Holds all nodes together to the rate and burst of each workspace. The bucket of a workspace lies at one
/// node, its allocator; the others request tokens from it, which lapse after a short time. A node that has
/// lost its allocator admits nothing beyond the tokens that it holds, so the sum over all nodes stays bounded
/// while links are cut, slow or lossy. Requests wait a little for tokens instead of being refused at once.
/// All times are those of clock::now_with_suspend(), so that tokens also lapse while the machine is
/// suspended. Not thread-safe.
class rate_limiter {
public:
    using decision_callback = std::function<void(const rate_decision&)>;

    /// Sends a request for tokens to another node; false if there is no link to it.
    using request_sender = std::function<bool(const peer_address& allocator, const rate_request& request)>;

    rate_limiter(rate_allocator_options options, peer_address self, request_sender send);

    void set_configuration(const configuration& config, steady_time now);

    /// Sets the nodes that may allocate rates, and the fraction of the fleet that this node reaches.
    void set_nodes(std::span<const peer_address> nodes, double reachable_fraction, steady_time now);

    /// Decides on a request, at once or after at most max_wait. Workspaces that are unknown or have no rate
    /// are not limited.
    void admit(std::string_view workspace, duration max_wait, steady_time now, decision_callback decide);

    /// Returns the token of an admitted request that was not executed.
    void refund(std::string_view workspace, steady_time now);

    /// Answers a peer's request for tokens. A node that does not allocate the workspace grants none.
    rate_grant on_request(const rate_request& request, steady_time now);
    void on_grant(const rate_grant& grant, steady_time now);

    /// Requests tokens again and refuses requests that have waited too long. Call several times a second, and
    /// every few milliseconds while has_waiting(): a long time without a call means that this process was
    /// paused.
    void poll(steady_time now);
    bool has_waiting() const { return waiting_ > 0; }

private:
    struct waiter {
        steady_time deadline{};
        decision_callback decide;
    };
    struct workspace_state {
        rate_tokens tokens;
        std::deque<waiter> waiters;
    };

    /// Drops all tokens and the contents of all buckets if this process was paused: another node may have
    /// become the allocator and granted the rate meanwhile.
    void check_pause(steady_time now);
    void update_ownership(steady_time now);
    /// Gives the held tokens to the waiting requests, requests more, and refuses those that wait in vain.
    void serve(const std::string& workspace, workspace_state& state, steady_time now);
    void request_tokens(const std::string& workspace, workspace_state& state, steady_time now);
    void admit_waiting(workspace_state& state, steady_time now);
    void refuse_waiting(workspace_state& state, steady_time now);
    void decide_front(workspace_state& state, const rate_decision& decision);

    peer_address self_;
    request_sender send_;
    rate_allocator allocator_;
    allocator_ring ring_;
    string_map<workspace_state> workspaces_;
    double reachable_fraction_ = 1;
    steady_time last_active_{}; ///< Last time that this process is known to have run.
    std::size_t waiting_ = 0;
};

} // namespace wagtailhatch
