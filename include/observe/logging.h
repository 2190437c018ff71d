#pragma once

#include <array>
#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <iosfwd>
#include <optional>
#include <string>
#include <string_view>

namespace wagtailhatch {

enum class log_level : std::uint8_t { debug, info, warning, error };

constexpr std::array<std::string_view, 4> log_level_names{"debug", "info", "warning", "error"};

/// The level with that name, or nothing.
constexpr std::optional<log_level> parse_log_level(std::string_view name)
{
    for (std::size_t i = 0; i < log_level_names.size(); ++i) {
        if (log_level_names.at(i) == name) {
            return static_cast<log_level>(i);
        }
    }
    return std::nullopt;
}

/// One named value of a record. Never put keys, bodies or Authorization headers into one.
struct log_field {
    log_field(std::string_view n, std::string_view v)
        : name{n}
        , value{v}
    {
    }
    log_field(std::string_view n, const char* v)
        : name{n}
        , value{v}
    {
    }
    log_field(std::string_view n, bool v)
        : name{n}
        , value{v ? "true" : "false"}
    {
    }
    template <typename T>
    requires(std::integral<T> || std::floating_point<T>) &&
        (!std::same_as<T, bool>)log_field(std::string_view n, T v)
        : name{n}
    , value{std::to_string(v)}
    {
    }

    std::string_view name;
    std::string value;
};

/// Sends records of this level and above to the stream (by default standard error), one line a record:
/// `ts=2026-01-31T12:00:00.000000Z level=info event="..." name=value`. Replaces an earlier set-up.
void setup_logging(log_level least);
void setup_logging(log_level least, std::ostream& to);

/// Whether a record of that level would be written.
bool log_enabled(log_level level);

/// Writes a record. Any thread. Values are quoted as needed, so that none can start another line or field.
void log(log_level level, std::string_view event, std::initializer_list<log_field> fields = {});

} // namespace wagtailhatch
