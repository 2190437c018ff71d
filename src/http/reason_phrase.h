#pragma once

#include <string_view>

namespace wagtailhatch {

/// Reason phrase of an HTTP status; "Status" for those not listed.
std::string_view reason_phrase(int status);

} // namespace wagtailhatch
