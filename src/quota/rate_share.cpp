#include "include/quota/rate_share.h"

#include <algorithm>
#include <cmath>

namespace wagtailhatch {
namespace {

using namespace std::chrono_literals;

// Weight of the last window in the smoothed demand.
constexpr double demand_smoothing = 0.5;
// The reserve covers what peers may admit within report_delay, up to this fraction of the depth.
constexpr double max_reserve_fraction = 0.5;
constexpr duration report_delay = 300ms;
// Overdrawn by more than this fraction of its depth, the bucket admits nothing: admissions that overdraw it
// remain in the window.
constexpr double max_overdraft_fraction = 0.25;
// Fraction of its share that a node admits while the bucket is overdrawn.
constexpr double overdrawn_share_fraction = 0.8;
// A peer without a report for this long may be behind a network partition.
constexpr duration silence_timeout = 1500ms;
constexpr double min_demand = 0.1; ///< Requests per second.
// Time from the first request until the peers' reports describe their demand.
constexpr duration warm_up = 1500ms;
// Unreported admissions that trigger an immediate report: a fraction of the depth, and a minimum in requests.
constexpr double report_threshold_fraction = 0.04;
constexpr double min_report_threshold = 2;
// Maximum credit of a node in requests, and of all nodes together as a fraction of the depth.
constexpr double max_credit = 3;
constexpr double credit_fraction = 0.5;
// Demand older than this predates a partition that was just detected.
constexpr duration settle_interval = 2s;
constexpr duration min_refill_interval = 20ms;
// Tokens that a full bucket dropped are remembered for this long: about the interval between two reports.
constexpr duration dropped_retention = 500ms;
// A peer that admitted more than this many times what its demand explains has had a spike or a flood.
constexpr double max_steady_growth = 2;
// Minimum change of a demand that is reported to the peers: a fraction of it, and a minimum in requests per
// second.
constexpr double demand_change_fraction = 0.25;
constexpr double min_demand_change = 0.3;
constexpr std::uint32_t reports_per_full_report = 8;
constexpr duration max_retry_after = 1s;

} // namespace

rate_share::rate_share(rate_share_options options)
    : options_{options}
{
}

void rate_share::set_configuration(const configuration& config, steady_time now)
{
    std::erase_if(buckets_, [&](const auto& entry) { return config.workspaces.count(entry.first) == 0; });
    for (const auto& [name, workspace] : config.workspaces) {
        const auto [found, added] = buckets_.try_emplace(name);
        auto& b = found->second;
        if (added) {
            b.last_refill = now;
        }
        b.rate = workspace.rate;
        b.depth = workspace.burst * options_.burst_fraction + options_.spare_requests;
        // A new node does not know what was spent before its start, so its bucket starts empty.
        b.level = std::min(b.level, b.depth);
        if (added) {
            b.credit = max_credit_of(b);
        }
    }
}

double rate_share::max_credit_of(const bucket& b) const
{
    return std::clamp(b.depth * credit_fraction / static_cast<double>(nodes_), 1.0, max_credit);
}

void rate_share::on_peer_usage(const peer_address& address, std::uint64_t incarnation,
                               const usage_report& report, steady_time now)
{
    auto& known = peers_[address];
    if (known.incarnation != incarnation) {
        known = {};
        known.incarnation = incarnation;
    }
    const bool was_silent =
        known.last_report_time != steady_time{} && now - known.last_report_time > silence_timeout;
    const double seconds_since_report =
        known.last_report_time == steady_time{} ? 0 : to_seconds(now - known.last_report_time);
    known.last_report_time = now;
    for (auto& [name, u] : known.usage) {
        u.listed = false;
    }
    for (const auto& u : report.workspaces) {
        const auto [found, added] = known.usage.try_emplace(u.workspace);
        auto& before = found->second;
        // A first report includes admissions from long ago, and a silent peer had its own part of the bucket.
        const auto newly_admitted = added || was_silent ? 0 : u.admitted - before.admitted;
        const double steady = before.per_second * seconds_since_report;
        before.per_second = u.per_second;
        before.admitted = u.admitted;
        before.listed = true;
        if (const auto b = buckets_.find(u.workspace); b != buckets_.end() && b->second.rate > 0) {
            refill(u.workspace, b->second, now);
            deduct_reported(b->second, static_cast<double>(newly_admitted), steady);
        }
    }
    if (report.full) {
        for (auto& [name, u] : known.usage) {
            u.per_second = u.listed ? u.per_second : 0;
        }
    }
}

void rate_share::deduct_reported(bucket& b, double admitted, double steady)
{
    // The peer's steady demand since its last report took tokens that arrived in that time. If the bucket was
    // full here, it has dropped those already, so they are not deducted again. A deep bucket has room for the
    // tokens that arrive between two reports.
    const bool is_steady = admitted <= steady * max_steady_growth + min_report_threshold;
    const bool shallow = b.depth < b.rate * to_seconds(dropped_retention);
    const double covered = is_steady && shallow ? std::min(admitted, b.dropped) : 0.0;
    b.dropped -= covered;
    b.level -= admitted - covered;
}

void rate_share::roll_window(bucket& b, steady_time now) const
{
    if (b.window_start == steady_time{}) {
        b.window_start = now;
    }
    const auto elapsed = now - b.window_start;
    if (elapsed < options_.window) {
        return;
    }
    const double measured = b.arrived / to_seconds(elapsed);
    const double smoothed = b.per_second + (measured - b.per_second) * demand_smoothing;
    b.per_second = std::max(measured, smoothed);
    b.arrived = 0;
    b.window_start = now;
}

bool rate_share::any_silent(steady_time now) const
{
    return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
        return now - entry.second.last_report_time > silence_timeout;
    });
}

void rate_share::settle_demand(steady_time now)
{
    if (any_silent(now)) {
        settled_at_ = now;
        return;
    }
    if (now - settled_at_ < settle_interval) {
        return;
    }
    settled_at_ = now;
    for (auto& [name, b] : buckets_) {
        b.settled.advance(b.per_second);
    }
    for (auto& [address, p] : peers_) {
        for (auto& [name, u] : p.usage) {
            u.settled.advance(u.per_second);
        }
    }
}

double rate_share::reachable_fraction_of(std::string_view workspace, const bucket& b, steady_time now) const
{
    double reachable_demand = b.settled.value;
    double silent_demand = 0;
    double reachable_nodes = 1;
    double silent_nodes = 0;
    for (const auto& [address, p] : peers_) {
        const bool is_silent = now - p.last_report_time > silence_timeout;
        (is_silent ? silent_nodes : reachable_nodes) += 1;
        if (const auto found = p.usage.find(workspace); found != p.usage.end()) {
            (is_silent ? silent_demand : reachable_demand) += found->second.settled.value;
        }
    }
    if (reachable_demand + silent_demand <= 0) {
        return reachable_nodes / (reachable_nodes + silent_nodes);
    }
    return reachable_demand / (reachable_demand + silent_demand);
}

void rate_share::update_shares(std::string_view workspace, bucket& b, steady_time now) const
{
    double peer_demand = 0;
    for (const auto& [address, p] : peers_) {
        const auto found = p.usage.find(workspace);
        if (found != p.usage.end() && now - p.last_report_time <= silence_timeout) {
            peer_demand += found->second.per_second;
        }
    }
    const double own = std::max(b.per_second, min_demand);
    if (now - started_ < warm_up) {
        // The demand of the peers is not known yet; each is assumed to have as much as this node until it
        // reports more.
        peer_demand = std::max(peer_demand, own * static_cast<double>(nodes_ - 1));
    }
    b.reachable_fraction = reachable_fraction_of(workspace, b, now);
    b.share = b.reachable_fraction * own / (own + peer_demand);
    b.reserve = std::min(peer_demand * to_seconds(report_delay),
                         b.depth * b.reachable_fraction * max_reserve_fraction);
}

void rate_share::refill(std::string_view workspace, bucket& b, steady_time now)
{
    const auto elapsed = now - b.last_refill;
    if (elapsed < min_refill_interval) {
        return;
    }
    b.last_refill = now;
    update_shares(workspace, b, now);
    const double allowed = b.rate * (1 + options_.overage);
    b.level += allowed * b.reachable_fraction * to_seconds(elapsed);
    const double max_level = b.depth * b.reachable_fraction;
    const double excess = std::max(0.0, b.level - max_level);
    b.level -= excess;
    // Previously dropped tokens decay at the rate at which they could have arrived.
    const double kept = b.dropped + excess - allowed * to_seconds(elapsed);
    b.dropped = excess > 0 ? std::min(b.dropped + excess, allowed * to_seconds(dropped_retention))
                           : std::max(0.0, kept);
    const double part = b.level < 0 ? overdrawn_share_fraction : 1.0;
    b.credit = std::min(b.credit + allowed * b.share * part * to_seconds(elapsed), max_credit_of(b));
}

bool rate_share::admit(std::string_view workspace, steady_time now)
{
    if (started_ == steady_time{}) {
        started_ = now;
    }
    const auto found = buckets_.find(workspace);
    if (found == buckets_.end() || found->second.rate <= 0) {
        return true;
    }
    auto& b = found->second;
    roll_window(b, now);
    b.arrived += 1;
    b.used = true;
    refill(workspace, b, now);
    if (b.level < b.reserve) {
        if (b.credit < 1 || b.level < -b.depth * max_overdraft_fraction) {
            return false;
        }
        b.credit -= 1;
    }
    b.level -= 1;
    b.admitted += 1;
    const double threshold = std::max(min_report_threshold, b.depth * report_threshold_fraction);
    report_due_ = report_due_ || static_cast<double>(b.admitted - b.reported) > threshold;
    return true;
}

void rate_share::refund(std::string_view workspace)
{
    const auto found = buckets_.find(workspace);
    if (found != buckets_.end() && found->second.rate > 0) {
        found->second.level = std::min(found->second.level + 1, found->second.depth);
        found->second.admitted -= 1;
    }
}

duration rate_share::retry_after(std::string_view workspace) const
{
    const auto found = buckets_.find(workspace);
    if (found == buckets_.end()) {
        return {};
    }
    const auto& b = found->second;
    const double per_second = b.rate * (1 + options_.overage) * b.share;
    if (per_second <= 0) {
        return max_retry_after;
    }
    const double overdrawn = std::max(0.0, -b.depth * max_overdraft_fraction - b.level);
    const std::chrono::duration<double> wait{std::max(0.0, 1 - b.credit) / per_second +
                                             overdrawn /
                                                 (b.rate * (1 + options_.overage) * b.reachable_fraction)};
    return std::chrono::duration_cast<duration>(
        std::min<std::chrono::duration<double>>(max_retry_after, wait));
}

bool rate_share::changed(const bucket& b)
{
    const double step = std::max(min_demand_change, b.reported_per_second * demand_change_fraction);
    const bool ended = b.per_second < min_demand && b.reported_per_second >= min_demand;
    return b.admitted != b.reported || std::abs(b.per_second - b.reported_per_second) > step || ended;
}

usage_report rate_share::report(steady_time now)
{
    settle_demand(now);
    usage_report out;
    out.full = reports_++ % reports_per_full_report == 0;
    for (auto& [name, b] : buckets_) {
        if (b.rate <= 0 || !b.used) {
            continue;
        }
        roll_window(b, now);
        if (!out.full && !changed(b)) {
            continue;
        }
        b.reported = b.admitted;
        b.reported_per_second = b.per_second;
        out.workspaces.push_back({name, b.per_second, b.admitted});
    }
    report_due_ = false;
    return out;
}

usage_report rate_share::full_report() const
{
    usage_report out;
    for (const auto& [name, b] : buckets_) {
        if (b.rate > 0 && b.used) {
            out.workspaces.push_back({name, b.per_second, b.admitted});
        }
    }
    return out;
}

} // namespace wagtailhatch
