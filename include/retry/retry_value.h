#pragma once

#include "include/call/service_call.h"

#include <cstdint>

namespace wagtailhatch {

/// Returns the fraction of the retry budget, 0 to 1, that a repeat of this call must leave to others. Repeats
/// are scarce when a service rejects requests at random, and a chain of calls succeeds only if each of its
/// calls does: a chain that has advanced far takes precedence over one that has just begun, which can be
/// abandoned at no loss. Requests of callers are ranked by importance. siblings_done: successful calls of the
/// same request.
double retry_reserve(const service_call& call, std::uint32_t siblings_done);

} // namespace wagtailhatch
