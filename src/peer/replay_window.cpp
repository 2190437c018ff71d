#include "src/peer/replay_window.h"

#include <algorithm>
#include <chrono>

namespace wagtailhatch {
namespace {

constexpr std::uint64_t window_size = 64;
/// A sender unheard for this long may come back with a lower incarnation, because its wall clock may have
/// been set back before a restart; it would be shut out for ever otherwise.
constexpr std::chrono::seconds incarnation_memory{60};

} // namespace

bool replay_window::accept(const peer_address& from, std::uint64_t incarnation, std::uint64_t sequence)
{
    const auto now = time_.now();
    if (!senders_.contains(from) && senders_.size() >= max_senders_) {
        forget_one();
    }
    auto& s = senders_[from];
    const bool stale = now - s.heard > incarnation_memory;
    if (incarnation > s.incarnation || (incarnation < s.incarnation && stale)) {
        s = {incarnation, 0, 0, now};
    }
    if (incarnation < s.incarnation || sequence == 0) {
        return false;
    }
    if (sequence > s.highest) {
        const auto shift = sequence - s.highest;
        s.seen = shift < window_size ? s.seen << shift : 0;
        s.highest = sequence;
    }
    const auto age = s.highest - sequence;
    if (age >= window_size || ((s.seen >> age) & 1) != 0) {
        return false;
    }
    s.seen |= std::uint64_t{1} << age;
    s.heard = now;
    return true;
}

void replay_window::forget_one()
{
    const auto oldest = std::min_element(senders_.begin(), senders_.end(), [](const auto& a, const auto& b) {
        return a.second.heard < b.second.heard;
    });
    if (oldest != senders_.end()) {
        senders_.erase(oldest);
    }
}

} // namespace wagtailhatch
