#pragma once

#include "include/core/errc.h"

#include <cassert>
#include <string>
#include <system_error>
#include <utility>
#include <variant>

namespace wagtailhatch {

/// An error code with an optional description of the location and cause.
struct error {
    std::error_code code;
    std::string detail;

    std::string message() const { return detail.empty() ? code.message() : detail + ": " + code.message(); }
};

/// A value or an error, similar to std::expected.
template <typename T>
class [[nodiscard]] result {
public:
    // NOLINTBEGIN(google-explicit-constructor): functions return a value, an error or an errc.
    result(T value)
        : state_{std::in_place_index<0>, std::move(value)}
    {
    }
    result(error e)
        : state_{std::in_place_index<1>, std::move(e)}
    {
    }
    result(errc code)
        : result{wagtailhatch::error{make_error_code(code), {}}}
    {
    }
    // NOLINTEND(google-explicit-constructor)

    explicit operator bool() const { return state_.index() == 0; }
    bool has_value() const { return state_.index() == 0; }

    /// Requires has_value().
    T& value()
    {
        assert(has_value());
        return std::get<0>(state_);
    }
    const T& value() const
    {
        assert(has_value());
        return std::get<0>(state_);
    }
    T& operator*() { return value(); }
    const T& operator*() const { return value(); }
    T* operator->() { return &value(); }
    const T* operator->() const { return &value(); }

    /// Requires !has_value().
    const wagtailhatch::error& failure() const
    {
        assert(!has_value());
        return std::get<1>(state_);
    }

private:
    std::variant<T, wagtailhatch::error> state_;
};

inline error make_error(errc code, std::string detail)
{
    return error{make_error_code(code), std::move(detail)};
}

} // namespace wagtailhatch
