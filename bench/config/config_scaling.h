#pragma once

#include <iosfwd>

namespace wagtailhatch {

/// Spread and cost of the configuration against the size of the fleet, in simulated time. Takes minutes.
void bench_config_scaling(std::ostream& out);

} // namespace wagtailhatch
