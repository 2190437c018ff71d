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

/// The level with this name; nothing if the name is unknown.
constexpr std::optional<log_level> parse_log_level(std::string_view name)
{
    for (std::size_t i = 0; i < log_level_names.size(); ++i) {
        if (log_level_names.at(i) == name) {
            return static_cast<log_level>(i);
        }
    }
    return std::nullopt;
}

/// A key-value pair of a structured log record. Must never hold API keys, message bodies or Authorization
/// headers.
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
        , is_text{false}
    {
    }
    template <typename T>
    requires(std::integral<T> && !std::same_as<T, bool>) log_field(std::string_view n, T v)
        : name{n}
        , value{std::to_string(v)}
        , is_text{false}
    {
    }
    /// Written with three decimal places; infinities and NaN are written as strings.
    log_field(std::string_view n, double v);

    std::string_view name;
    std::string value;
    bool is_text = true; ///< Whether the value is a JSON string; otherwise a number or a boolean.
};

/// Rate limit of a process. Above it, records below `warning` are dropped; above twice the limit, all are.
/// The next record that is written reports how many were dropped. Failures are logged at `info` and above,
/// successes at `debug`.
constexpr std::uint64_t max_log_lines_per_second = 400;

/// Logs records of this level and above to the stream (by default standard output) as JSON lines:
/// `{"ts":"2026-01-31T12:00:00.000000Z","level":"info","event":"...","name":"value"}`. Writing to standard
/// output never blocks: lines that the reader does not consume in time are dropped and counted. Replaces the
/// previous configuration.
void setup_logging(log_level min_level);
void setup_logging(log_level min_level, std::ostream& to);

/// Number of lines dropped since the start of the process.
std::uint64_t dropped_log_lines();

/// Whether the level is at or above the configured minimum.
bool log_enabled(log_level level);

/// Writes a record; thread-safe. Values are escaped to prevent log injection: none can start another line or
/// field.
void log(log_level level, std::string_view event, std::initializer_list<log_field> fields = {});

} // namespace wagtailhatch
