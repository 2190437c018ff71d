#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace wagtailhatch {

/// IP address and port, such as "10.0.0.1:4000".
using peer_address = std::string;

enum class member_state : std::uint8_t {
    joining, ///< The node is up; its target has not announced itself or is unreachable.
    ready,
    leaving, ///< Accepts no new work.
    left,
};

constexpr std::array<std::string_view, 4> member_state_names{"joining", "ready", "leaving", "left"};

constexpr std::string_view to_string(member_state s)
{
    return member_state_names.at(static_cast<std::size_t>(s));
}

/// One instance of a service: a target and the node beside it.
struct member {
    peer_address address; ///< Of the node; serves as its identity.
    std::string id;       ///< Of the target's incarnation; empty until it has announced itself.
    std::string service;
    std::string data_centre;
    std::uint64_t incarnation = 0; ///< Of the node; differs after each start.
    member_state state = member_state::joining;

    bool operator==(const member&) const = default;
};

} // namespace wagtailhatch
