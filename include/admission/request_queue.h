#pragma once

#include "include/core/clock.h"
#include "include/core/importance.h"
#include "include/core/string_map.h"

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace wagtailhatch {

struct request_queue_options {
    bool drop_aged = true; ///< Drops entries that have waited too long while the queue is standing.
    bool fair = true;      ///< Weighted fair sharing between workspaces; if false, one FIFO per class.
    duration target_wait = std::chrono::milliseconds{50}; ///< Acceptable queueing time.
    /// A queue whose wait exceeds `target_wait` for this long is a standing queue. With 100 ms, a permitted
    /// burst of one workspace caused 0.26% of the requests of others to be rejected.
    duration interval = std::chrono::milliseconds{300};
};

struct queued_request {
    std::uint64_t id = 0;
    importance level = importance::normal;
    steady_time deadline{};
    steady_time enqueued{}; ///< When it joined the queue, or the late entries of its class.
    /// A response after it is late, but still of use to the caller; default: there is only `deadline`.
    steady_time soft_deadline{};
    duration service_time{}; ///< Expected processing time; zero: that passed to sweep().
    bool late = false;       ///< Can only be answered after its soft deadline.
};

/// Queue of the waiting requests of one target: strict priority between importance classes, start-time fair
/// queueing between the workspaces of a class, FIFO within a workspace. A class with a standing queue drops
/// old entries, similar to CoDel. The caller bounds the size with evict_for(). Within a class, late entries
/// start after all others, in the same order among themselves, and are dropped when they have waited too
/// long, so that they delay nothing and their callers are not kept waiting.
class request_queue {
public:
    explicit request_queue(request_queue_options options);

    /// Relative share of a workspace, 1 by default; intended to be the workspace's rate limit.
    void set_weight(std::string_view workspace, double weight);

    void push(const queued_request& request, std::string_view workspace);

    /// Removes and returns the next request to start; nullopt if the queue is empty.
    std::optional<queued_request> pop();

    /// Returns false if no request with this id is queued.
    bool remove(std::uint64_t id);

    /// Makes room for a request: removes and returns an entry of the least important class, of the workspace
    /// with the most queued requests relative to its weight. Returns nullopt, and removes nothing, if the new
    /// request itself ranks lowest.
    std::optional<queued_request> evict_for(importance level, std::string_view workspace, bool late = false);

    /// Removes the entries that would miss their deadline with a processing time of `service_time` (appended
    /// to `expired`), and those that have waited too long while their class has a standing queue (appended to
    /// `aged`). Entries that would miss their soft deadline become late.
    void sweep(steady_time now, duration service_time, std::vector<queued_request>& expired,
               std::vector<queued_request>& aged);

    std::size_t size() const { return size_; }
    std::size_t size(importance level) const
    {
        return lanes_.at(lane_of(level, false)).size + lanes_.at(lane_of(level, true)).size;
    }
    /// Number of entries that start before a new one.
    std::size_t size_ahead(importance level, bool late) const;
    /// Whether the queue of this class, or of any class, is a standing queue as of the last sweep().
    bool standing(importance level) const { return lanes_.at(lane_of(level, false)).standing; }
    bool standing() const;

    /// Removes and returns all entries.
    std::vector<queued_request> clear();

    void set_target_wait(duration wait) { options_.target_wait = wait; }

private:
    struct flow {
        std::deque<queued_request> entries;
        double start_tag = 0; ///< Virtual start time of the flow's next request.
        std::uint32_t workspace = 0;
        bool active = false;
    };
    struct sweep_result {
        std::vector<queued_request>& expired;
        std::vector<queued_request>& aged;
        /// Entries that became late, with their workspace index.
        std::vector<std::pair<queued_request, std::uint32_t>> late{};
    };
    /// The entries of a class that are late, or those that are not.
    struct lane {
        std::vector<flow> flows;            ///< By workspace index.
        std::deque<std::uint32_t> rotation; ///< Indices of the flows that have entries.
        double virtual_time = 0;
        std::size_t size = 0;
        steady_time above_since{};
        steady_time last_above{};
        bool standing = false;
    };

    static constexpr std::size_t lane_of(importance level, bool late)
    {
        return 2 * static_cast<std::size_t>(level) + (late ? 1 : 0);
    }

    std::uint32_t index_of(std::string_view workspace);
    void push_to_flow(const queued_request& request, std::uint32_t workspace);
    flow& flow_of(lane& l, std::uint32_t workspace);
    flow* next_flow(lane& l);
    flow* heaviest_flow(lane& l);
    void deactivate_if_empty(lane& l, flow& f);
    void update_standing(lane& l, steady_time now);
    void sweep_flow(lane& l, flow& f, steady_time now, duration service_time, sweep_result& out);
    void sweep_lane(lane& l, steady_time now, duration service_time, sweep_result& out);
    double weight_of(std::uint32_t workspace) const { return weights_.at(workspace); }

    request_queue_options options_;
    string_map<std::uint32_t> index_;
    std::vector<double> weights_;
    std::array<lane, importance_count * 2> lanes_; ///< In the order of service; see lane_of().
    /// Lane and workspace index of each entry.
    std::unordered_map<std::uint64_t, std::pair<std::uint8_t, std::uint32_t>> locations_;
    std::size_t size_ = 0;
};

} // namespace wagtailhatch
