#pragma once

#include "include/core/clock.h"
#include "include/quota/rate_allocator.h"

#include <cstdint>
#include <vector>

namespace wagtailhatch {

/// Tokens that this node holds for one workspace's requests, and when to request more. Tokens lapse a short
/// time after they were requested, so that a node which was paused or cut off does not spend them late. A
/// busy node requests tokens ahead of its demand; a rarely used one requests them as requests arrive. Not
/// thread-safe.
class rate_tokens {
public:
    /// Counts a request.
    void count_demand(steady_time now);

    /// Takes one token; false if none is held.
    bool take(steady_time now);

    /// Returns the token of an admitted request that was not executed.
    void refund(steady_time now);

    /// Number of tokens to request now for the given number of waiting requests; 0 if none are needed, a
    /// request is unanswered, or the allocator has denied tokens recently.
    std::uint32_t needed(std::uint32_t waiting, steady_time now) const;

    /// Begins a request for tokens and returns its sequence number.
    std::uint32_t begin_request(steady_time now);

    /// The allocator has answered. A grant for an earlier request than the last one is ignored: how long its
    /// tokens are valid is no longer known.
    void on_grant(const rate_grant& grant, steady_time now);

    /// Drops all tokens and forgets unanswered requests.
    void drop();

    /// Time until tokens can be requested again after a denial; zero if that is possible now.
    duration denied_for(steady_time now) const;

    /// Whether a sent request is unanswered and not yet given up.
    bool request_pending(steady_time now) const;

private:
    struct batch {
        std::uint32_t count = 0;
        steady_time expiry{};
    };

    std::uint32_t held(steady_time now) const;

    std::vector<batch> batches_; ///< Oldest first.
    steady_time requested_at_{}; ///< Of the unanswered request; the epoch if there is none.
    std::uint32_t sequence_ = 0; ///< Of the last request.
    steady_time denied_until_{};
    double per_second_ = 0; ///< Smoothed demand of this node.
    double arrived_ = 0;    ///< Requests in the current window.
    steady_time window_start_{};
};

} // namespace wagtailhatch
