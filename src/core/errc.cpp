#include "include/core/errc.h"

#include <array>
#include <string>

namespace wagtailhatch {
namespace {

constexpr std::array<const char*, 14> names{"ok",
                                            "invalid argument",
                                            "not found",
                                            "version conflict",
                                            "unavailable",
                                            "timeout",
                                            "connection lost",
                                            "truncated",
                                            "too large",
                                            "malformed",
                                            "not authorized",
                                            "cancelled",
                                            "shutting down",
                                            "history lost"};

class category final : public std::error_category {
public:
    const char* name() const noexcept override { return "wagtailhatch"; }
    std::string message(int value) const override
    {
        const auto index = static_cast<std::size_t>(value);
        return index < names.size() ? names.at(index) : "unknown error";
    }
};

} // namespace

const std::error_category& wagtailhatch_category() noexcept
{
    static const category instance;
    return instance;
}

std::error_code make_error_code(errc e) noexcept
{
    return {static_cast<int>(e), wagtailhatch_category()};
}

} // namespace wagtailhatch
