#pragma once

#include "include/admission/load_report.h"
#include "include/call/service_call.h"
#include "include/core/clock.h"
#include "include/core/importance.h"
#include "include/core/string_map.h"
#include "include/retry/rejection_estimator.h"
#include "include/retry/retry_budget.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_set>

namespace wagtailhatch {

struct chain_limiter_options {
    duration window = std::chrono::milliseconds{50};
    /// Part of the goodput without shedding that is kept. Chains that advance by chance need fewer retries
    /// than others, so a larger choice of chains gives a higher goodput, but more of them fail late.
    double kept_goodput = 0.9;
    /// Shedding begins when at most this fraction of a route's chains is admitted; it ends at all of them.
    double shed_begin_fraction = 0.75;
    /// With fewer chains per second, or a budget that carries fewer chains in a window, one chain more or
    /// less decides, and retries are left to those who come first.
    double min_chains_per_second = 1.5;
    double min_carried_chains = 3;
    duration budget_window = std::chrono::seconds{10};
    /// Nothing is shed while the budget carries this fraction of all calls or more.
    double sufficient_fraction = 0.95;
    /// Shortest time between the beginning and the end of the shedding of a route, except that it ends with
    /// the rejections.
    duration min_shed_change = std::chrono::seconds{1};
};

/// Decides what the retry budget of this node is spent on while the targets of one service reject a share q
/// of everything. A call needs q/(1-q) retries on average, so the budget carries (1-q)/q first calls per
/// second for each retry per second; if there are more, most chains would fail after most of their calls
/// have succeeded. The limiter chooses the calls that get retries, by importance and then by the calls that
/// their chain has left, and gives the admission level at which the entry admits about as many chains as
/// the budget is of use to. Takes effect only for a service of variable capacity. Not thread-safe.
class chain_limiter {
public:
    /// budget: of the same service; must outlive the limiter, which switches its reference windows.
    explicit chain_limiter(retry_budget& budget, chain_limiter_options options = {},
                           rejection_estimator_options estimator = {});

    /// Whether the configuration says that the capacity of the service's targets varies.
    void set_variable_capacity(bool on);

    /// Records that a target of the service reported a pace: the service counts as one of variable capacity
    /// for some seconds.
    void on_pace(steady_time now);

    /// Whether the service has variable capacity. Until it has for the first time, the limiter has no effect;
    /// afterwards only the reference windows of the budget stay on.
    bool enabled(steady_time now) const;

    /// Counts the first arrival of a request to the service. parent: id of the request that made the call,
    /// empty for a request of a caller; siblings_done: successful calls of the same parent.
    void on_request(const service_call& call, std::string_view parent, std::uint32_t siblings_done,
                    steady_time now);

    /// Records that a first or repeated call reached a target, and whether the target rejected it.
    void on_arrival(std::string_view target, bool rejected, steady_time now);

    /// Whether the service rejects a part of everything.
    bool rejecting(steady_time now);

    /// Whether may_repeat() decides about retries: the service is rejecting, and there are enough calls to
    /// choose from.
    bool chooses_retries(steady_time now);

    /// Rejected share of arrivals; 0 while the service is not rejecting.
    double rejected_share(steady_time now);

    /// Whether a call may take retries from the budget while chooses_retries() is true. The answer is the
    /// same for all calls of a chain with as many left.
    bool may_repeat(const service_call& call, std::uint32_t siblings_done, steady_time now);

    /// Admission level for the calls that this node's own target makes on the entry route.
    admit_level level(std::string_view route, steady_time now);

    /// Whether level() is below everything for any route.
    bool shedding(steady_time now);

private:
    static constexpr std::size_t pair_count = importance_count / 2;
    /// Calls that a chain has left after one of its calls; further ones count as the most.
    static constexpr std::size_t rank_count = 16;
    static constexpr std::size_t level_history = 20;

    struct arrival_rate {
        double count = 0; ///< In the current window.
        double per_second = 0;
        void update(double elapsed, double time_constant);
    };
    struct route_state {
        std::array<arrival_rate, pair_count> chains{};
        std::array<double, pair_count> demand{}; ///< Chains per second before shedding.
        std::array<double, level_history> levels{};
        double calls = 0;   ///< Recent first calls, and the requests that made them.
        double parents = 0; ///< Counted only while nothing is rejected.
        std::uint32_t depth = 1;
        /// Most successful siblings that a call had, in the current and the previous period without
        /// rejections.
        std::array<std::uint32_t, 2> siblings{};
        bool shed = false;
        steady_time shed_changed{};
        admit_level level;

        /// First calls of a chain that gets all its retries.
        double length() const;
    };
    /// Which calls of the classes of one importance get retries.
    struct carried_part {
        double direct = 1;             ///< Fraction of the requests of callers.
        std::size_t rank = rank_count; ///< Calls with fewer calls left are carried in full.
        double fraction = 0;           ///< Carried fraction of those with as many left.
    };
    struct pair_state {
        arrival_rate direct;
        std::array<arrival_rate, rank_count> calls{};
        carried_part carried;
    };
    struct call_rates {
        double calls = 0;
        double direct = 0;
        double chains = 0; ///< Before shedding.
        double demand = 0; ///< Of calls, before shedding, if all chains get their retries.
    };

    void update_reference_windows();
    route_state& route(std::string_view name);
    /// Returns whether no earlier call of the same parent is known.
    bool is_first_call(std::string_view parent);
    static std::size_t calls_left(const route_state& state, std::uint32_t siblings_done);
    /// Updates everything once per window.
    void update(steady_time now);
    void begin_length_period(steady_time now);
    void update_rates(double elapsed, bool rejecting);
    static void update_demand(route_state& state, double elapsed, bool rejecting);
    void begin_rejections(const retry_allowance& budget);
    void end_rejections();
    void update_carried(double carried, double elapsed, bool begins);
    void update_decisions(double share, const retry_allowance& budget, steady_time now);
    std::array<call_rates, pair_count> rates() const;
    static admit_level level_for(const std::array<call_rates, pair_count>& rates, double carried);
    void choose_calls_to_retry(const std::array<call_rates, pair_count>& rates, double carried);
    void shed_routes(double share, const std::array<call_rates, pair_count>& rates, steady_time now);
    bool has_too_few_calls(const std::array<call_rates, pair_count>& rates) const;
    double admitted_fraction(const route_state& state, double share, double carried_fraction) const;
    bool should_shed(const route_state& state, double fraction) const;

    retry_budget& budget_;
    chain_limiter_options options_;
    rejection_estimator estimator_;
    bool variable_capacity_ = false;
    bool pace_seen_ = false;
    steady_time pace_time_{};
    string_map<route_state> routes_;
    std::array<pair_state, pair_count> pairs_{};
    std::unordered_set<std::uint64_t> recent_parents_;
    std::deque<std::uint64_t> parent_order_;
    steady_time window_start_{};
    steady_time length_period_start_{};
    bool active_ = false;           ///< The service was rejecting at the last update.
    bool too_few_calls_ = false;    ///< There are too few calls to choose from.
    bool shedding_stopped_ = false; ///< No more shedding until the rejections end.
    double first_budget_ = 0;       ///< Retries per second when the rejections began.
    /// First calls per second that the budget carries, smoothed, for the choice of retries and, more slowly,
    /// for the shedding.
    double carried_calls_ = 0;
    double carried_while_shedding_ = 0;
};

} // namespace wagtailhatch
