#pragma once

#include "include/core/clock.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace wagtailhatch {

struct retry_budget_options {
    double ratio = 0.2; ///< Repeated arrivals at a service per request, over all nodes.
    double slack = 20;  ///< Repeated arrivals beyond the ratio in a window, over all nodes.
    /// Fraction of ratio and slack that one service uses: repeated executions repeat their calls, which count
    /// at the downstream services.
    double service_fraction = 0.7;
    duration window = std::chrono::seconds{10};
};

/// Retry budget over a sliding window: bounds the repeated arrivals that one node causes at one service in
/// any window. It needs no messages between nodes: the nodes' parts of the slack add up to at most the slack,
/// and the ratio holds at each node. Not thread-safe.
class retry_budget {
public:
    explicit retry_budget(retry_budget_options options);

    /// Number of existing nodes, this one included.
    void set_node_count(std::size_t nodes) { nodes_ = nodes == 0 ? 1 : nodes; }

    /// Counts a request of this node to the service.
    void on_request(steady_time now);

    /// Counts a repeated arrival that this node did not initiate: a repeated upstream request makes its calls
    /// again.
    void charge(steady_time now);

    /// Takes one repeated arrival from the budget; returns false if none is left. reserve: fraction of the
    /// budget, 0 to 1, that must remain for more valuable requests.
    bool try_take(steady_time now, double reserve = 0);

private:
    static constexpr std::size_t slices = 10;

    struct slice {
        double requests = 0;
        double repeats = 0;
    };

    void roll(steady_time now);

    retry_budget_options options_;
    std::size_t nodes_ = 1;
    /// One more than a window has, because the newest slice is incomplete; together they cover a window.
    std::array<slice, slices + 1> slices_{};
    std::int64_t current_ = 0;
};

} // namespace wagtailhatch
