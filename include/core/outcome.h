#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace wagtailhatch {

/// What is known about whether a request ran. Sent to callers as `wh-outcome`.
enum class outcome : std::uint8_t {
    answered, ///< The whole answer of the target.
    not_run,  ///< No byte of the request reached a target.
    unknown,  ///< A target may have run it.
};

constexpr std::array<std::string_view, 3> outcome_names{"answered", "not-run", "unknown"};

constexpr std::string_view to_string(outcome o)
{
    return outcome_names.at(static_cast<std::size_t>(o));
}

/// Why a request was not answered by its target. Sent to callers as `wh-reason`.
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
    withdrawn_key,
    key_required,
    unknown_route,
    too_large,
    malformed,
    idempotency_key_required,
    replayed,
    in_progress,
    outcome_unknown,
    starting,
    cancelled,
    invalid_handle,   ///< A call of a target without the handle of a live request.
    rate_unavailable, ///< No mint of the workspace's rate could be reached.
    already_run,      ///< Run before; the answer was not kept.
};

constexpr std::array<std::string_view, 23> refusal_reason_names{
    "none",           "over-rate",        "overload",        "no-target",   "leaving",
    "quarantined",    "deadline",         "connection-lost", "unknown-key", "withdrawn-key",
    "key-required",   "unknown-route",    "too-large",       "malformed",   "idempotency-key-required",
    "replayed",       "in-progress",      "outcome-unknown", "starting",    "cancelled",
    "invalid-handle", "rate-unavailable", "already-run"};

constexpr std::string_view to_string(refusal_reason r)
{
    return refusal_reason_names.at(static_cast<std::size_t>(r));
}

} // namespace wagtailhatch
