#include "include/retry/chain_limiter.h"

#include "include/retry/chain_goodput.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <string>

namespace wagtailhatch {
namespace {

// A target reports its pace in each response. Without traffic for this long there is nothing to decide.
constexpr duration pace_lifetime = std::chrono::seconds{10};
constexpr double rate_seconds = 0.3;
constexpr double demand_seconds = 1.0;
// While calls are shed, the demand follows from few arrivals and a level that was applied some time ago.
constexpr double shed_demand_seconds = 2.0;
constexpr double carried_seconds = 0.2;
// The rejected share is known from few arrivals; shedding must not begin and end with each deviation.
constexpr double shed_carried_seconds = 1.5;
constexpr double chain_length_seconds = 5.0;
constexpr duration chain_length_period = std::chrono::seconds{10};
constexpr double longest_window_seconds = 1.0;
constexpr double min_rejected_share = 0.01;
constexpr double max_rejected_share = 0.98;
// Retries may be spent faster than the window allows on average while most of the budget is left, and slower
// as the rest decreases: a budget that runs out ends chains that have advanced far.
constexpr double max_spending = 1.3;
constexpr double min_rest = 0.1;
// Chains per second of a route that are admitted at least, so that the end of the rejections is noticed.
constexpr double min_measured_chains = 2.0;
// Retries are chosen again only when there are clearly enough calls.
constexpr double coarse_margin = 1.3;
// Shedding pays as long as the budget still follows from the requests before it.
constexpr double release_budget_fraction = 0.6;
constexpr std::size_t max_limited_routes = 1000;
constexpr std::size_t max_recent_parents = 2048;

/// Number in [0, 1) that is the same for all calls of a chain: ids of calls have the form PARENT.OWN.
double chain_position(const service_call& call)
{
    std::string_view id = call.id;
    for (std::uint32_t i = 0; i < call.depth; ++i) {
        const auto dot = id.rfind('.');
        if (dot == std::string_view::npos) {
            break;
        }
        id = id.substr(0, dot);
    }
    constexpr double range = 18446744073709551616.0;
    return static_cast<double>(XXH64(id.data(), id.size(), 0)) / range;
}

std::size_t pair_of(importance level)
{
    return static_cast<std::size_t>(level) / 2;
}

double smoothing_weight(double elapsed, double time_constant)
{
    return 1 - std::exp(-elapsed / time_constant);
}

} // namespace

void chain_limiter::arrival_rate::update(double elapsed, double time_constant)
{
    per_second += (count / elapsed - per_second) * smoothing_weight(elapsed, time_constant);
    count = 0;
}

chain_limiter::chain_limiter(retry_budget& budget, chain_limiter_options options,
                             rejection_estimator_options estimator)
    : budget_{budget}
    , options_{options}
    , estimator_{estimator}
{
}

void chain_limiter::set_variable_capacity(bool on)
{
    variable_capacity_ = on;
    update_reference_windows();
}

void chain_limiter::on_pace(steady_time now)
{
    pace_seen_ = true;
    pace_time_ = now;
    update_reference_windows();
}

void chain_limiter::update_reference_windows()
{
    budget_.set_reference_windows(variable_capacity_ || pace_seen_);
}

bool chain_limiter::enabled(steady_time now) const
{
    return variable_capacity_ || (pace_seen_ && now - pace_time_ < pace_lifetime);
}

chain_limiter::route_state& chain_limiter::route(std::string_view name)
{
    const auto found = routes_.find(name);
    if (found != routes_.end()) {
        return found->second;
    }
    if (routes_.size() >= max_limited_routes) {
        routes_.clear();
    }
    auto& state = routes_[std::string{name}];
    state.levels.fill(admit_level::everything);
    return state;
}

double chain_limiter::route_state::length() const
{
    // After a pause the parents have decayed, while a call may still belong to an earlier one.
    return parents > 0 ? std::clamp(calls / parents, 1.0, static_cast<double>(rank_count)) : 1;
}

bool chain_limiter::is_first_call(std::string_view parent)
{
    const auto hash = XXH64(parent.data(), parent.size(), 0);
    if (!recent_parents_.insert(hash).second) {
        return false;
    }
    parent_order_.push_back(hash);
    if (parent_order_.size() > max_recent_parents) {
        recent_parents_.erase(parent_order_.front());
        parent_order_.pop_front();
    }
    return true;
}

std::size_t chain_limiter::calls_left(const route_state& state, std::uint32_t siblings_done)
{
    const auto last = std::max(state.siblings.front(), state.siblings.back());
    return std::min<std::size_t>(last - std::min(last, siblings_done), rank_count - 1);
}

void chain_limiter::begin_length_period(steady_time now)
{
    if (now - length_period_start_ < chain_length_period) {
        return;
    }
    length_period_start_ = now;
    for (auto& [name, state] : routes_) {
        state.siblings = {0, state.siblings.front()};
        state.depth = 1;
    }
}

void chain_limiter::on_request(const service_call& call, std::string_view parent, std::uint32_t siblings_done,
                               steady_time now)
{
    if (!enabled(now)) {
        return;
    }
    update(now);
    const auto pair = pair_of(call.level);
    if (call.depth == 0) {
        pairs_.at(pair).direct.count += 1;
        return;
    }
    auto& state = route(call.route);
    state.depth = std::max(state.depth, call.depth);
    const bool first = is_first_call(parent);
    state.chains.at(pair).count += first ? 1 : 0;
    if (!active_) {
        state.calls += 1;
        state.parents += first ? 1 : 0;
    }
    state.siblings.front() = std::max(state.siblings.front(), siblings_done);
    pairs_.at(pair).calls.at(calls_left(state, siblings_done)).count += 1;
}

void chain_limiter::on_arrival(std::string_view target, bool rejected, steady_time now)
{
    if (enabled(now)) {
        estimator_.on_arrival(target, rejected, now);
    }
}

bool chain_limiter::rejecting(steady_time now)
{
    return enabled(now) && estimator_.rejecting(now);
}

bool chain_limiter::chooses_retries(steady_time now)
{
    update(now);
    return active_ && !too_few_calls_;
}

double chain_limiter::rejected_share(steady_time now)
{
    return enabled(now) ? estimator_.share(now) : 0;
}

bool chain_limiter::may_repeat(const service_call& call, std::uint32_t siblings_done, steady_time now)
{
    update(now);
    const auto& carried = pairs_.at(pair_of(call.level)).carried;
    if (call.depth == 0) {
        return chain_position(call) < carried.direct;
    }
    const auto rank = calls_left(route(call.route), siblings_done);
    return rank < carried.rank || (rank == carried.rank && chain_position(call) < carried.fraction);
}

admit_level chain_limiter::level(std::string_view route, steady_time now)
{
    update(now);
    const auto found = routes_.find(route);
    if (found == routes_.end() || !found->second.shed) {
        return {};
    }
    // Each hop to the entry relaxes the level; at a small fraction that would admit a multiple of it.
    return admit_level{found->second.level.value() - pressure_relaxation_per_hop * found->second.depth};
}

bool chain_limiter::shedding(steady_time now)
{
    update(now);
    return std::any_of(routes_.begin(), routes_.end(), [](const auto& r) { return r.second.shed; });
}

void chain_limiter::update(steady_time now)
{
    const bool rejecting = this->rejecting(now);
    if (!rejecting && active_) {
        end_rejections();
    }
    const double elapsed = to_seconds(now - window_start_);
    const bool begins = rejecting && !active_;
    if (!enabled(now) || (elapsed < to_seconds(options_.window) && !begins)) {
        return;
    }
    window_start_ = now;
    if (elapsed > 0) {
        update_rates(std::min(elapsed, longest_window_seconds), rejecting);
    }
    if (!rejecting) {
        begin_length_period(now);
        return;
    }
    const auto budget = budget_.allowance(now);
    if (begins) {
        begin_rejections(budget);
    }
    const double share = std::clamp(estimator_.share(now), min_rejected_share, max_rejected_share);
    const double carried = budget.per_second * (1 - share) / share;
    update_carried(carried, elapsed, begins);
    shedding_stopped_ = shedding_stopped_ || budget.per_second < first_budget_ * release_budget_fraction;
    update_decisions(share, budget, now);
}

void chain_limiter::update_carried(double carried, double elapsed, bool begins)
{
    if (begins) {
        carried_calls_ = carried;
        carried_while_shedding_ = carried;
        return;
    }
    carried_calls_ += (carried - carried_calls_) * smoothing_weight(elapsed, carried_seconds);
    carried_while_shedding_ +=
        (carried - carried_while_shedding_) * smoothing_weight(elapsed, shed_carried_seconds);
}

void chain_limiter::begin_rejections(const retry_allowance& budget)
{
    active_ = true;
    shedding_stopped_ = false;
    first_budget_ = budget.per_second;
}

void chain_limiter::end_rejections()
{
    active_ = false;
    for (auto& [name, state] : routes_) {
        state.shed = false;
        state.level = {};
    }
    for (auto& pair : pairs_) {
        pair.carried = {};
    }
}

void chain_limiter::update_rates(double elapsed, bool rejecting)
{
    const double kept = rejecting ? 1 : 1 - smoothing_weight(elapsed, chain_length_seconds);
    for (auto& [name, state] : routes_) {
        state.calls *= kept;
        state.parents *= kept;
        for (auto& chains : state.chains) {
            chains.update(elapsed, rate_seconds);
        }
        update_demand(state, elapsed, rejecting);
        std::rotate(state.levels.begin(), state.levels.end() - 1, state.levels.end());
        state.levels.front() = state.level.value();
    }
    for (auto& pair : pairs_) {
        pair.direct.update(elapsed, rate_seconds);
        for (auto& calls : pair.calls) {
            calls.update(elapsed, rate_seconds);
        }
    }
}

void chain_limiter::update_demand(route_state& state, double elapsed, bool rejecting)
{
    // The entry applies a level after an unknown time, within which any of the recent levels may have been in
    // force. Only arrivals that none of them explains change the demand.
    const auto [lowest, highest] = std::minmax_element(state.levels.begin(), state.levels.end());
    for (std::size_t pair = 0; pair < pair_count; ++pair) {
        auto& demand = state.demand.at(pair);
        const double rate = state.chains.at(pair).per_second;
        if (!rejecting) {
            demand += (rate - demand) * smoothing_weight(elapsed, demand_seconds);
            continue;
        }
        const auto level = static_cast<importance>(2 * pair);
        const double most = rate / std::max(admit_level{*lowest}.fraction(level), 1e-9);
        const double least = rate / std::max(admit_level{*highest}.fraction(level), 1e-9);
        const bool unknown = admit_level{*highest}.fraction(level) <= 0;
        const double explained = unknown ? demand : std::clamp(demand, least, most);
        demand += (explained - demand) * smoothing_weight(elapsed, shed_demand_seconds);
    }
}

std::array<chain_limiter::call_rates, chain_limiter::pair_count> chain_limiter::rates() const
{
    std::array<call_rates, pair_count> result{};
    for (std::size_t i = 0; i < pair_count; ++i) {
        result.at(i).direct = pairs_.at(i).direct.per_second;
        for (const auto& calls : pairs_.at(i).calls) {
            result.at(i).calls += calls.per_second;
        }
        for (const auto& [name, state] : routes_) {
            result.at(i).chains += state.demand.at(i);
            result.at(i).demand += state.demand.at(i) * state.length();
        }
    }
    return result;
}

void chain_limiter::update_decisions(double share, const retry_allowance& budget, steady_time now)
{
    const auto by_pair = rates();
    too_few_calls_ = has_too_few_calls(by_pair);
    shed_routes(share, by_pair, now);
    choose_calls_to_retry(by_pair, carried_calls_ * std::min(max_spending, budget.left / min_rest));
}

admit_level chain_limiter::level_for(const std::array<call_rates, pair_count>& rates, double carried)
{
    for (std::size_t pair = 0; pair < pair_count; ++pair) {
        const double needed = rates.at(pair).demand + rates.at(pair).direct;
        if (needed > carried) {
            return admit_level{2 * static_cast<double>(pair) + carried / needed};
        }
        carried -= needed;
    }
    return {};
}

void chain_limiter::choose_calls_to_retry(const std::array<call_rates, pair_count>& rates, double carried)
{
    for (std::size_t i = 0; i < pair_count; ++i) {
        auto& pair = pairs_.at(i);
        const auto& rate = rates.at(i);
        pair.carried = {};
        if (rate.calls + rate.direct <= carried) {
            carried -= rate.calls + rate.direct;
            continue;
        }
        // Requests of callers get the part that they have of the demand before shedding.
        const double demand = std::max(rate.demand, rate.calls) + rate.direct;
        pair.carried.direct = std::min(1.0, carried / demand);
        double rest = carried - rate.direct * pair.carried.direct;
        carried = 0;
        for (std::size_t rank = 0; rank < rank_count; ++rank) {
            const double calls = pair.calls.at(rank).per_second;
            if (calls > rest) {
                pair.carried.rank = rank;
                pair.carried.fraction = rest / calls;
                break;
            }
            rest -= calls;
        }
    }
}

bool chain_limiter::has_too_few_calls(const std::array<call_rates, pair_count>& rates) const
{
    double chains = 0;
    double calls = 0;
    for (const auto& r : rates) {
        chains += r.chains + r.direct;
        calls += r.demand + r.direct;
    }
    const double carried = calls > 0 ? carried_while_shedding_ * chains / calls : 0;
    const double margin = too_few_calls_ ? coarse_margin : 1;
    return chains < options_.min_chains_per_second * margin ||
           carried * to_seconds(options_.budget_window) < options_.min_carried_chains * margin;
}

double chain_limiter::admitted_fraction(const route_state& state, double share, double carried_fraction) const
{
    if (carried_fraction >= options_.sufficient_fraction) {
        return 1;
    }
    const double chains = std::accumulate(state.demand.begin(), state.demand.end(), 0.0);
    const double length = std::round(state.length());
    const double retries = carried_fraction * length * share / (1 - share);
    const double measured = chains > 0 ? min_measured_chains / chains : 1;
    return std::max(measured, admitted_for_goodput(share, static_cast<std::uint32_t>(length), retries,
                                                   options_.kept_goodput));
}

bool chain_limiter::should_shed(const route_state& state, double fraction) const
{
    return !shedding_stopped_ && !too_few_calls_ && fraction < 1 &&
           (state.shed || fraction <= options_.shed_begin_fraction);
}

void chain_limiter::shed_routes(double share, const std::array<call_rates, pair_count>& rates,
                                steady_time now)
{
    const double demand =
        std::accumulate(rates.begin(), rates.end(), 0.0,
                        [](double sum, const call_rates& r) { return sum + r.demand + r.direct; });
    const double carried_fraction = demand > 0 ? std::min(1.0, carried_while_shedding_ / demand) : 1;
    for (auto& [name, state] : routes_) {
        const double fraction = admitted_fraction(state, share, carried_fraction);
        const bool shed = should_shed(state, fraction);
        if (shed != state.shed &&
            (shedding_stopped_ || now - state.shed_changed >= options_.min_shed_change)) {
            state.shed = shed;
            state.shed_changed = now;
        }
        state.level = state.shed ? level_for(rates, fraction * demand) : admit_level{};
    }
}

} // namespace wagtailhatch
