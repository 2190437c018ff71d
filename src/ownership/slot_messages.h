#pragma once

#include <cstdint>

namespace wagtailhatch {

/// First byte after the archive's byte-order mark of each message on channels slot, quota and claim.
enum class slot_message : std::uint8_t {
    pair = 1, ///< A batch for the partner.
    row,      ///< A row that was written.
    map,      ///< Asks for the rows of a data centre.
    take,     ///< Asks a mint for tokens.
    settle,   ///< Final report of a grant.
    confirm,  ///< Asks whether a mint has applied a set of weights.
    order,    ///< A run-once order for its home.
};

/// First byte of the answer to take, settle, confirm and order.
enum class slot_answer : std::uint8_t {
    not_here = 0, ///< Followed by the row known here; nothing was done.
    done,
    unavailable, ///< Owner, but not able to act now; nothing was done.
};

} // namespace wagtailhatch
