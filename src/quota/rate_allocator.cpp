#include "include/quota/rate_allocator.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace wagtailhatch {
namespace {

using namespace std::chrono_literals;

// Fraction of the permitted overage by which buckets fill faster than their rate, so that demand at the rate
// is not refused for tokens that expire unused.
constexpr double refill_overage_fraction = 0.8;
// A new allocator may grant this much of a second's rate at once, so that the requests which meet a restart
// are not all refused.
constexpr double initial_fill_seconds = 0.15;
constexpr double min_initial_tokens = 3;
// Denied tokens count towards the retry delay for about this long.
constexpr duration denied_retention = 300ms;
constexpr duration min_retry_after = 10ms;
constexpr duration max_retry_after = 1s;

} // namespace

rate_allocator::rate_allocator(rate_allocator_options options)
    : options_{options}
{
}

void rate_allocator::set_configuration(const configuration& config, steady_time now)
{
    std::erase_if(buckets_, [&](const auto& entry) { return config.workspaces.count(entry.first) == 0; });
    for (const auto& [name, workspace] : config.workspaces) {
        const auto [found, added] = buckets_.try_emplace(name);
        auto& b = found->second;
        if (added) {
            b.last_refill = now;
        }
        refill(b, now);
        b.rate = workspace.rate;
        b.depth = workspace.burst * options_.burst_fraction + options_.spare_tokens;
        b.level = std::min(b.level, b.depth);
    }
}

void rate_allocator::set_ownership(const std::function<bool(std::string_view)>& owns,
                                   double reachable_fraction, steady_time now)
{
    for (auto& [name, b] : buckets_) {
        refill(b, now);
        const bool owned = owns(name);
        if (owned && !std::exchange(b.owned, owned)) {
            b.level = std::min(min_initial_tokens + b.rate * initial_fill_seconds, b.depth);
            b.denied = 0;
        }
        b.owned = owned;
    }
    reachable_fraction_ = std::clamp(reachable_fraction, 0.0, 1.0);
}

bool rate_allocator::limited(std::string_view workspace) const
{
    const auto found = buckets_.find(workspace);
    return found != buckets_.end() && found->second.rate > 0;
}

void rate_allocator::refill(bucket& b, steady_time now) const
{
    const double elapsed = to_seconds(now - b.last_refill);
    b.last_refill = now;
    const double per_second = b.rate * (1 + options_.overage * refill_overage_fraction);
    b.level = std::min(b.level + per_second * reachable_fraction_ * elapsed, b.depth * reachable_fraction_);
    b.denied *= std::exp(-elapsed / to_seconds(denied_retention));
}

duration rate_allocator::retry_after(const bucket& b, double per_second)
{
    if (per_second <= 0) {
        return max_retry_after;
    }
    const std::chrono::duration<double> wait{std::max(0.0, b.denied - b.level) / per_second};
    const auto bounded = std::min<std::chrono::duration<double>>(wait, max_retry_after);
    return std::max(std::chrono::duration_cast<duration>(bounded), duration{min_retry_after});
}

std::optional<rate_grant> rate_allocator::allocate(const rate_request& request, steady_time now)
{
    const auto found = buckets_.find(request.workspace);
    if (found == buckets_.end() || !found->second.owned) {
        return std::nullopt;
    }
    auto& b = found->second;
    refill(b, now);
    rate_grant grant{request.workspace, 0, request.sequence, {}};
    grant.tokens = std::min(request.tokens, static_cast<std::uint32_t>(std::max(0.0, b.level)));
    b.level -= grant.tokens;
    if (grant.tokens < request.tokens) {
        b.denied += request.tokens - grant.tokens;
        grant.retry_after = retry_after(b, b.rate * reachable_fraction_);
    }
    return grant;
}

} // namespace wagtailhatch
