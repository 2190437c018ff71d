#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace wagtailhatch {

/// Why a request got no response from a target. The names appear in logs and metrics.
enum class refusal_reason : std::uint8_t {
    none,
    over_rate,
    overload,
    no_target,
    leaving,
    quarantined,
    deadline,
    connection_lost,
    unknown_key,
    key_required,
    unknown_route,
    malformed,       ///< The response, or a call from a peer, was invalid.
    outcome_unknown, ///< The request may have been executed, and no instance is left for a retry.
    starting,        ///< The node has no configuration yet.
    evacuated,       ///< The operators have evacuated the data centre of the targets.
    outside_regions, ///< No target is in a region that the operators allow for the request.
};

constexpr std::array<std::string_view, 16> refusal_reason_names{
    "none",           "over-rate", "overload",        "no-target",   "leaving",
    "quarantined",    "deadline",  "connection-lost", "unknown-key", "key-required",
    "unknown-route",  "malformed", "outcome-unknown", "starting",    "evacuated",
    "outside-regions"};

constexpr std::string_view to_string(refusal_reason r)
{
    return refusal_reason_names.at(static_cast<std::size_t>(r));
}

} // namespace wagtailhatch
