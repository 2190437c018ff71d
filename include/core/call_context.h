#pragma once

#include "include/core/clock.h"
#include "include/core/importance.h"

#include <array>
#include <cstdint>
#include <string>

namespace wagtailhatch {

/// W3C trace context of one hop.
struct trace_context {
    std::array<std::uint8_t, 16> trace_id{};
    std::array<std::uint8_t, 8> span_id{};
    std::array<std::uint8_t, 8> parent_id{}; ///< All zero: none, or not known on this node.
    bool sampled = false;
};

/// What a request carries down its chain. Built at the entry, never from headers of outside callers.
struct call_context {
    std::string workspace; ///< Empty on routes open to all.
    std::string route;     ///< Name of the entry route; pressure of services further down is kept by it.
    importance level = importance::normal;
    steady_time deadline{};         ///< Local monotonic time; travels as remaining time.
    std::uint32_t retry_tokens = 0; ///< Extra attempts that this call and all calls below it may still use.
    std::uint32_t depth = 0;        ///< Hops from the entry; 0 at the entry.
    std::string run_once_key;       ///< Empty unless the route is run-once.
    std::uint64_t fingerprint = 0;  ///< Identifies equal requests for crash quarantine.
    trace_context trace;
};

} // namespace wagtailhatch
