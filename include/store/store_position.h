#pragma once

#include <compare>
#include <cstdint>

namespace wagtailhatch {

/// A moment in the history of the store. When the store returns from an older copy, a new era begins: the
/// versions that the copy lacks are given out again, so versions of different eras cannot be compared.
struct store_position {
    std::uint64_t era = 0; ///< 0: the store does not name its era.
    std::uint64_t version = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): false positive on comparisons that use the operator
    auto operator<=>(const store_position&) const = default;
};

} // namespace wagtailhatch
