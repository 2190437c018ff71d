#pragma once

#include "include/peer/peer_transport.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace wagtailhatch {

enum class member_state : std::uint8_t {
    joining, ///< Node is up, its target has not announced itself.
    ready,
    leaving, ///< Takes no new work.
    suspect, ///< Did not answer; may still be alive.
    dead,
    left,
};

constexpr std::array<std::string_view, 6> member_state_names{"joining", "ready", "leaving",
                                                             "suspect", "dead",  "left"};

constexpr std::string_view to_string(member_state s)
{
    return member_state_names.at(static_cast<std::size_t>(s));
}

/// One instance of a service as the group knows it.
struct member {
    std::string id; ///< Stable name of the instance, from its settings.
    std::string service;
    std::string data_centre;
    peer_address address;
    std::uint64_t incarnation = 0; ///< Raised by each start of the instance.
    std::uint32_t refutation = 0;  ///< Raised by the instance itself to refute suspicion or change its state.
    member_state state = member_state::joining;
};

} // namespace wagtailhatch
