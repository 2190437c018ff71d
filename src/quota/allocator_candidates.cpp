#include "include/quota/allocator_candidates.h"

namespace wagtailhatch {
namespace {

using namespace std::chrono_literals;

constexpr duration min_join_time = 200ms;
// After this time a node counts as knowing its fleet, even if many nodes do not answer it.
constexpr duration max_join_time = 3s;
constexpr double min_link_fraction = 0.8;

} // namespace

bool may_allocate_rates(const fleet_knowledge& known)
{
    if (!known.configured || !known.complete || known.age < min_join_time) {
        return false;
    }
    const auto needed_links = static_cast<double>(known.contacts) * min_link_fraction;
    return known.age >= max_join_time || static_cast<double>(known.links) >= needed_links;
}

} // namespace wagtailhatch
