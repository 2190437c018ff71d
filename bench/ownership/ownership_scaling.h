#pragma once

#include <ostream>

namespace wagtailhatch {

/// Messages, bytes, table calls, memory and time of slots, mints and claims against nodes, slots, workspaces
/// and claims, in simulated time on one thread.
void bench_ownership_scaling(std::ostream& out);

} // namespace wagtailhatch
