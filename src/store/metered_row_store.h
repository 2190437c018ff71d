#pragma once

#include "include/observe/metrics.h"
#include "include/store/row_store.h"

#include <memory>

namespace wagtailhatch {

/// Decorator that counts the calls to a store by kind and outcome in wh_store_calls_total. Both arguments
/// must outlive the returned store.
std::unique_ptr<row_store> make_metered_row_store(row_store& store, metrics& registry);

} // namespace wagtailhatch
