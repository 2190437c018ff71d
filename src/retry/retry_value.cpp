#include "include/retry/retry_value.h"

#include <algorithm>
#include <array>

namespace wagtailhatch {
namespace {

// Indexed by completed calls; the first call of a chain gets half of the budget, later ones more.
constexpr std::array<double, 4> reserve_by_progress{0.5, 0.3, 0.15, 0.0};
constexpr double reserve_below_high_importance = 0.3;

} // namespace

double retry_reserve(const service_call& call, std::uint32_t siblings_done)
{
    if (call.depth > 0) {
        return reserve_by_progress.at(std::min<std::size_t>(siblings_done, reserve_by_progress.size() - 1));
    }
    const auto rank = static_cast<std::size_t>(call.level) % importance_group_size;
    return rank > static_cast<std::size_t>(importance::high) ? reserve_below_high_importance : 0.0;
}

} // namespace wagtailhatch
