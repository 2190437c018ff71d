#pragma once

#include "include/core/clock.h"
#include "include/peer/peer_transport.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace wagtailhatch {

/// Remembers which datagrams of each sender were seen. Only for datagrams with a valid proof of origin.
class replay_window {
public:
    replay_window(const clock& time, std::size_t max_senders)
        : time_{time}
        , max_senders_{max_senders}
    {
    }

    /// True the first time for a sequence number that is not too old; numbers start at 1.
    /// A higher incarnation starts a new window, a lower one is refused.
    bool accept(const peer_address& from, std::uint64_t incarnation, std::uint64_t sequence);

    std::size_t senders() const { return senders_.size(); }

private:
    struct sender {
        std::uint64_t incarnation = 0;
        std::uint64_t highest = 0;
        std::uint64_t seen = 0; ///< Bit n: highest - n was seen.
        steady_time heard;
    };

    void forget_one();

    const clock& time_;
    std::size_t max_senders_;
    std::unordered_map<peer_address, sender> senders_;
};

} // namespace wagtailhatch
