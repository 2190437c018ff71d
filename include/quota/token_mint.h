#pragma once

#include "include/core/clock.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <unordered_map>

namespace wagtailhatch {

/// Tokens in units of 1e-9, so that the sums are exact.
using nano_tokens = std::int64_t;
constexpr nano_tokens whole_token = 1'000'000'000;

/// Lifetimes of a grant. The holder stops spending one second after it asked, on its own clock; the mint
/// counts the grant for 1.5 s after it answered, on its own clock. Clock rates may differ by up to 50%.
constexpr std::chrono::milliseconds grant_lifetime{1000};
constexpr std::chrono::milliseconds grant_counted{1500};

/// What the partner keeps of a mint. Tokens that the owner frees or mints after this was recorded are not in
/// it, so a successor starts with at most what the owner had.
struct mint_copy {
    nano_tokens available = 0;
    nano_tokens outstanding = 0;
    steady_time recorded{}; ///< Clock of the node that keeps the copy.
};

/// Token bucket of one workspace in one data centre, at the owner of its slot. Tokens in hand plus tokens
/// granted and not yet settled never exceed the burst, so whatever holders spend in any window is at most
/// burst + rate x window.
class token_mint {
public:
    struct grant {
        std::uint64_t id = 0; ///< 0: nothing granted.
        std::uint32_t amount = 0;
    };

    /// A full bucket. Only for a workspace of which nothing was ever granted here.
    token_mint(double rate, std::uint64_t burst, steady_time now, std::uint64_t first_id);
    /// Continues from the partner's copy.
    token_mint(double rate, std::uint64_t burst, const mint_copy& copy, std::uint64_t first_id);
    /// History was lost then: whatever the burst allows may be outstanding.
    static token_mint after_loss(double rate, std::uint64_t burst, steady_time lost_at,
                                 std::uint64_t first_id);

    void set_share(double rate, std::uint64_t burst, steady_time now);

    /// Takes up to need tokens out of the bucket, and up to wish more only while more than half is left.
    /// The grant must not be answered before the partner holds copy().
    grant reserve(std::uint32_t need, std::uint32_t wish, steady_time now);

    /// The grant is answered now: starts the time for which it is counted.
    void answered(std::uint64_t id, steady_time now);

    /// The grant was never answered.
    void withdraw(std::uint64_t id, steady_time now);

    /// The holder's final report. Later reports of the same grant are ignored. What was neither spent nor
    /// returned (expired at the holder) is not minted again.
    void settle(std::uint64_t id, std::uint32_t spent, std::uint32_t returned, steady_time now);

    nano_tokens available(steady_time now);
    nano_tokens outstanding() const { return outstanding_; }
    nano_tokens burst() const { return burst_; }
    double rate() const { return rate_; }
    /// Until the next token is in hand, if no holder reports.
    duration wait(steady_time now);
    mint_copy copy(steady_time now);

private:
    struct expiry {
        steady_time at;
        std::uint64_t id;
    };
    void accrue(steady_time until);
    void advance(steady_time now);

    double rate_ = 0;
    nano_tokens burst_ = 0;
    nano_tokens available_ = 0;
    nano_tokens outstanding_ = 0;
    steady_time last_{};
    std::uint64_t next_id_ = 1;
    std::unordered_map<std::uint64_t, nano_tokens> grants_;
    std::deque<expiry> expiries_; ///< In order of time.
};

} // namespace wagtailhatch
