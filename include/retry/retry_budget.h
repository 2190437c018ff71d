#pragma once

#include "include/core/clock.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace wagtailhatch {

struct retry_budget_options {
    double ratio = 0.2; ///< Repeated arrivals at a service per request, over all nodes.
    double slack = 20;  ///< Repeated arrivals beyond the ratio in a window, over all nodes.
    /// Fraction of ratio and slack that one service uses: repeated executions repeat their calls, which count
    /// at the downstream services.
    double service_fraction = 0.7;
    duration window = std::chrono::seconds{10};
};

/// What a retry budget allows.
struct retry_allowance {
    double per_second = 0; ///< Repeated arrivals per second, averaged over a window.
    double left = 0;       ///< Fraction of a window's repeated arrivals, 0 to 1, that is still available.
};

/// Retry budget over a sliding window: bounds the repeated arrivals that one node causes at one service in
/// any window. It needs no messages between nodes: the nodes' parts of the slack add up to at most the slack,
/// and the ratio holds at each node. Not thread-safe.
class retry_budget {
public:
    explicit retry_budget(retry_budget_options options);

    /// Number of existing nodes, this one included.
    void set_node_count(std::size_t nodes) { nodes_ = nodes == 0 ? 1 : nodes; }

    /// Relates repeats to the requests of the window, of the window before it or of the window half a window
    /// earlier, whichever has the most; if false, the default, only to those of the window. A load that the
    /// entries shed then does not lose its budget at once.
    void set_reference_windows(bool on) { reference_windows_ = on; }

    /// Counts a request of this node to the service.
    void on_request(steady_time now);

    /// Counts a repeated arrival that this node did not initiate: a repeated upstream request makes its calls
    /// again.
    void charge(steady_time now);

    /// Takes one repeated arrival from the budget; returns false if none is left. reserve: fraction of the
    /// budget, 0 to 1, that must remain for more valuable requests.
    bool try_take(steady_time now, double reserve = 0);

    retry_allowance allowance(steady_time now);

private:
    static constexpr std::size_t slices = 10;
    /// Slices of a window in the history for the reference windows. They are shorter, because a slice that is
    /// only partly in a window counts in favour of the bound.
    static constexpr int history_slices = 50;

    struct slice {
        double requests = 0;
        double repeats = 0;
    };

    /// Repeats that a window contains, and those that its requests allow.
    struct usage {
        double repeats = 0;
        double allowed = 0;
    };

    /// Slices up to the current one, addressed by their distance to it.
    class slice_history {
    public:
        explicit slice_history(int length)
            : slices_(static_cast<std::size_t>(length))
        {
        }
        void roll(std::int64_t index);
        slice& at(int age);
        const slice& at(int age) const;
        std::size_t position(int age) const;

    private:
        std::vector<slice> slices_;
        std::int64_t current_ = 0;
    };

    void roll(steady_time now);
    void add_repeat();
    double allowed(double requests) const;
    /// Usage of the windows that contain the current time, the one that ends now first. If
    /// `reference_windows_` is not set, only of that one.
    std::vector<usage> usages() const;
    usage own_window() const;
    std::vector<usage> windows_with_references() const;

    retry_budget_options options_;
    bool reference_windows_ = false;
    std::size_t nodes_ = 1;
    /// One more than a window has, because the newest slice is incomplete; together they cover a window.
    std::array<slice, slices + 1> slices_{};
    std::int64_t current_ = 0;
    slice_history history_{2 * history_slices + 1};
};

} // namespace wagtailhatch
