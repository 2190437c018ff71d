#pragma once

#include <cstdint>
#include <system_error>

namespace wagtailhatch {

/// Error codes shared by all modules.
enum class errc : std::uint8_t {
    ok = 0,
    invalid_argument,
    not_found,
    conflict,    ///< The precondition of a conditional write did not hold.
    unavailable, ///< The peer is unreachable or refuses to serve.
    timeout,     ///< No response in time; the operation may or may not have taken effect.
    connection_lost,
    truncated, ///< The response ended early.
    too_large,
    malformed,
    not_authorized,
    cancelled,
    shutting_down,
    lost_history, ///< The change feed no longer has the requested version; read the table again.
};

const std::error_category& wagtailhatch_category() noexcept;
std::error_code make_error_code(errc e) noexcept;

} // namespace wagtailhatch

template <>
struct std::is_error_code_enum<wagtailhatch::errc> : std::true_type {
};
