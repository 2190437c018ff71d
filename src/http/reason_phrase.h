#pragma once

#include <string_view>

namespace wagtailhatch {

/// Reason phrase of an HTTP status code; "Status" for codes without an entry.
std::string_view reason_phrase(int status);

} // namespace wagtailhatch
