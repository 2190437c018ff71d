#include "include/quota/rate_tokens.h"

#include <algorithm>
#include <utility>

namespace wagtailhatch {
namespace {

using namespace std::chrono_literals;

// From the request for a token until it lapses.
constexpr duration token_lifetime = 400ms;
// A busy node holds tokens for this much of its demand.
constexpr duration prefetch_time = 200ms;
// A request for tokens without an answer is repeated after this time, which is longer than a round trip
// between distant regions: the answer to a repeated request is not used.
constexpr duration request_timeout = 250ms;
constexpr duration demand_window = 500ms;
constexpr double demand_smoothing = 0.5; ///< Weight of the last window.

} // namespace

std::uint32_t rate_tokens::held(steady_time now) const
{
    std::uint32_t sum = 0;
    for (const auto& b : batches_) {
        sum += now < b.expiry ? b.count : 0;
    }
    return sum;
}

void rate_tokens::count_demand(steady_time now)
{
    const auto elapsed = now - window_start_;
    if (elapsed >= demand_window) {
        const double measured = arrived_ / to_seconds(elapsed);
        per_second_ += (measured - per_second_) * demand_smoothing;
        arrived_ = 0;
        window_start_ = now;
    }
    arrived_ += 1;
}

bool rate_tokens::take(steady_time now)
{
    std::erase_if(batches_, [&](const batch& b) { return b.count == 0 || now >= b.expiry; });
    if (batches_.empty()) {
        return false;
    }
    --batches_.front().count;
    return true;
}

void rate_tokens::refund(steady_time now)
{
    batches_.insert(batches_.begin(), {1, now + token_lifetime});
}

bool rate_tokens::request_pending(steady_time now) const
{
    return requested_at_ != steady_time{} && now - requested_at_ < request_timeout;
}

duration rate_tokens::denied_for(steady_time now) const
{
    return std::max(denied_until_ - now, duration{});
}

std::uint32_t rate_tokens::needed(std::uint32_t waiting, steady_time now) const
{
    if (request_pending(now) || now < denied_until_) {
        return 0;
    }
    const auto ahead = static_cast<std::uint32_t>(per_second_ * to_seconds(prefetch_time));
    const auto available = held(now);
    // Refilling at half of the target halves the number of messages.
    const bool low = available <= ahead / 2;
    const auto prefetch = low && ahead > available ? ahead - available : 0;
    return waiting + prefetch;
}

std::uint32_t rate_tokens::begin_request(steady_time now)
{
    requested_at_ = now;
    return ++sequence_;
}

void rate_tokens::drop()
{
    batches_.clear();
    requested_at_ = {};
    ++sequence_;
}

void rate_tokens::on_grant(const rate_grant& grant, steady_time now)
{
    if (grant.sequence != sequence_ || requested_at_ == steady_time{}) {
        return;
    }
    const auto requested_at = std::exchange(requested_at_, {});
    if (grant.tokens > 0) {
        batches_.push_back({grant.tokens, requested_at + token_lifetime});
    }
    if (grant.retry_after > duration{}) {
        denied_until_ = now + grant.retry_after;
    }
}

} // namespace wagtailhatch
