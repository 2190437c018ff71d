#include "include/core/memory_budget.h"

#include <algorithm>

namespace wagtailhatch {
namespace {

// Bytes. The program itself, its links and connections, and small bodies.
constexpr std::size_t other_memory = std::size_t{48} << 20;
// Bytes. One body of 64 MiB with its copy.
constexpr std::size_t default_limit = std::size_t{128} << 20;
// Bytes. A node with less memory still serves bodies of some size side by side.
constexpr std::size_t min_limit = std::size_t{16} << 20;

} // namespace

std::size_t limit_of_large_bodies(std::size_t memory_limit)
{
    if (memory_limit == 0) {
        return default_limit;
    }
    return std::max(min_limit, memory_limit - std::min(memory_limit, other_memory));
}

} // namespace wagtailhatch
