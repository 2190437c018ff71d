#pragma once

#include <iosfwd>

namespace wagtailhatch {

/// Prints messages, bytes and processor time of membership against group size and number of followed groups,
/// in simulated time without faults, and memory for each known member.
void bench_membership_scaling(std::ostream& out);

} // namespace wagtailhatch
