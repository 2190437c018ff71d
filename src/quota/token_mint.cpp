#include "include/quota/token_mint.h"

#include <algorithm>

namespace wagtailhatch {

namespace {

// Holders ask for more than they need only while this part of the burst is left, so that tokens lie idle at
// one holder only when no other can miss them.
constexpr nano_tokens plenty_divisor = 2;
constexpr nano_tokens wish_divisor = 4;
constexpr duration longest_wait = std::chrono::seconds{60};

// Grants of an earlier owner, counted as one.
constexpr std::uint64_t inherited_grant = 0;

} // namespace

token_mint::token_mint(double rate, std::uint64_t burst, steady_time now, std::uint64_t first_id)
    : rate_{rate}
    , burst_{static_cast<nano_tokens>(burst) * whole_token}
    , available_{burst_}
    , last_{now}
    , next_id_{std::max<std::uint64_t>(first_id, 1)}
{
}

token_mint::token_mint(double rate, std::uint64_t burst, const mint_copy& copy, std::uint64_t first_id)
    : rate_{rate}
    , burst_{static_cast<nano_tokens>(burst) * whole_token}
    , outstanding_{copy.outstanding}
    , last_{copy.recorded}
    , next_id_{std::max<std::uint64_t>(first_id, 1)}
{
    available_ = std::min(copy.available, std::max<nano_tokens>(0, burst_ - outstanding_));
    if (outstanding_ > 0) {
        grants_[inherited_grant] = outstanding_;
        expiries_.push_back({copy.recorded + grant_counted, inherited_grant});
    }
}

token_mint token_mint::after_loss(double rate, std::uint64_t burst, steady_time lost_at,
                                  std::uint64_t first_id)
{
    const mint_copy worst{0, static_cast<nano_tokens>(burst) * whole_token, lost_at};
    return {rate, burst, worst, first_id};
}

void token_mint::accrue(steady_time until)
{
    if (until <= last_) {
        return;
    }
    const auto room = static_cast<double>(burst_ - available_ - outstanding_);
    if (room > 0) {
        // rate in tokens a second times nanoseconds is in units of 1e-9 tokens.
        const double minted = rate_ * static_cast<double>((until - last_).count());
        available_ += static_cast<nano_tokens>(std::min(room, minted));
    }
    last_ = until;
}

void token_mint::advance(steady_time now)
{
    while (!expiries_.empty() && expiries_.front().at <= now) {
        const auto [at, id] = expiries_.front();
        expiries_.pop_front();
        const auto found = grants_.find(id);
        if (found != grants_.end()) {
            accrue(at);
            outstanding_ -= found->second;
            grants_.erase(found);
        }
    }
    accrue(now);
}

void token_mint::set_share(double rate, std::uint64_t burst, steady_time now)
{
    const auto nano_burst = static_cast<nano_tokens>(burst) * whole_token;
    if (rate == rate_ && nano_burst == burst_) {
        return;
    }
    advance(now);
    rate_ = rate;
    burst_ = nano_burst;
    available_ = std::min(available_, std::max<nano_tokens>(0, burst_ - outstanding_));
}

token_mint::grant token_mint::reserve(std::uint32_t need, std::uint32_t wish, steady_time now)
{
    advance(now);
    const auto whole = static_cast<std::uint64_t>(available_ / whole_token);
    auto amount = std::min<std::uint64_t>(need, whole);
    if (amount == need) {
        const auto rest = available_ - static_cast<nano_tokens>(amount) * whole_token;
        const auto spare = std::max<nano_tokens>(0, rest - burst_ / plenty_divisor) / wish_divisor;
        amount += std::min<std::uint64_t>(wish, static_cast<std::uint64_t>(spare / whole_token));
    }
    if (amount == 0) {
        return {};
    }
    const auto taken = static_cast<nano_tokens>(amount) * whole_token;
    available_ -= taken;
    outstanding_ += taken;
    grants_[next_id_] = taken;
    return {next_id_++, static_cast<std::uint32_t>(amount)};
}

void token_mint::answered(std::uint64_t id, steady_time now)
{
    expiries_.push_back({now + grant_counted, id});
}

void token_mint::withdraw(std::uint64_t id, steady_time now)
{
    const auto found = grants_.find(id);
    if (found == grants_.end()) {
        return;
    }
    settle(id, 0, static_cast<std::uint32_t>(found->second / whole_token), now);
}

void token_mint::settle(std::uint64_t id, std::uint32_t spent, std::uint32_t returned, steady_time now)
{
    advance(now);
    const auto found = grants_.find(id);
    if (found == grants_.end() || id == inherited_grant) {
        return;
    }
    const auto used = std::min<nano_tokens>(static_cast<nano_tokens>(spent) * whole_token, found->second);
    const auto back =
        std::min<nano_tokens>(static_cast<nano_tokens>(returned) * whole_token, found->second - used);
    outstanding_ -= found->second;
    grants_.erase(found);
    available_ = std::min(available_ + back, std::max<nano_tokens>(0, burst_ - outstanding_));
}

nano_tokens token_mint::available(steady_time now)
{
    advance(now);
    return available_;
}

duration token_mint::wait(steady_time now)
{
    advance(now);
    const auto missing = std::max<nano_tokens>(0, whole_token - available_);
    if (missing == 0) {
        return duration{0};
    }
    if (rate_ <= 0 || burst_ < whole_token) {
        return longest_wait;
    }
    const double nanoseconds = static_cast<double>(missing) / rate_;
    auto wait = std::chrono::duration_cast<duration>(std::chrono::duration<double, std::nano>{
        std::min(nanoseconds, static_cast<double>(longest_wait.count()))});
    if (burst_ - outstanding_ < whole_token && !expiries_.empty()) {
        wait += expiries_.front().at - now;
    }
    return std::clamp(wait, duration{1}, longest_wait);
}

mint_copy token_mint::copy(steady_time now)
{
    advance(now);
    return {available_, outstanding_, now};
}

} // namespace wagtailhatch
