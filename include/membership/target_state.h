#pragma once

#include "include/core/clock.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace wagtailhatch {

/// Whether a target accepts work.
enum class target_phase : std::uint8_t {
    unknown, ///< Not announced since this node started.
    ready,
    draining, ///< Completes its requests in progress; gets no new work.
    gone,     ///< Has announced its end; gets no new work.
};

constexpr std::array<std::string_view, 4> target_phase_names{"unknown", "ready", "draining", "gone"};

constexpr std::string_view to_string(target_phase p)
{
    return target_phase_names.at(static_cast<std::size_t>(p));
}

/// State of the target beside a node, as far as the node knows it.
struct target_state {
    std::string id; ///< Of the current incarnation; empty if unknown.
    target_phase phase = target_phase::unknown;
    std::uint32_t slots = 0;  ///< Requests that it runs concurrently; 0: unknown.
    steady_time cold_until{}; ///< End of its cold start; it is slow until then.
    /// When this node received the message that cold_until is from; zero: none has told.
    steady_time cold_reported{};

    bool operator==(const target_state&) const = default;
};

} // namespace wagtailhatch
