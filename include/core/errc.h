#pragma once

#include <cstdint>
#include <system_error>

namespace wagtailhatch {

/// Failures that the modules report to each other.
enum class errc : std::uint8_t {
    ok = 0,
    invalid_argument,
    not_found,
    conflict,    ///< A conditional write found another version.
    unavailable, ///< The other side cannot be reached or refuses to serve.
    timeout,     ///< No answer in time; the effect is unknown.
    connection_lost,
    truncated, ///< The answer ended early.
    too_large,
    malformed,
    not_authorized,
    cancelled,
    shutting_down,
    lost_history,
};

const std::error_category& wagtailhatch_category() noexcept;
std::error_code make_error_code(errc e) noexcept;

} // namespace wagtailhatch

template <>
struct std::is_error_code_enum<wagtailhatch::errc> : std::true_type {
};
