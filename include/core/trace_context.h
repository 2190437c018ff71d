#pragma once

#include <array>
#include <cstdint>

namespace wagtailhatch {

/// W3C trace context of one span.
struct trace_context {
    std::array<std::uint8_t, 16> trace_id{};
    std::array<std::uint8_t, 8> span_id{};
    std::array<std::uint8_t, 8> parent_id{}; ///< All zero: no parent, or unknown on this node.
    bool sampled = false;
};

} // namespace wagtailhatch
