#include "include/observe/logging.h"

#include "src/observe/stdout_backend.h"

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/make_shared.hpp>
#include <fmt/chrono.h>
#include <fmt/format.h>

#include <atomic>
#include <chrono>
#include <cmath>
#include <iostream>

namespace wagtailhatch {
namespace {

namespace blog = boost::log;
using logger = blog::sources::severity_logger_mt<int>;

/// Maximum size of a string value in bytes: values from clients must not be able to fill the disk that stores
/// the log.
constexpr std::size_t max_value_bytes = 1024;

std::atomic<int> minimum_level{static_cast<int>(log_level::info)};
std::atomic<std::uint64_t> dropped{0};          ///< Lines dropped since the start.
std::atomic<std::uint64_t> reported_dropped{0}; ///< Dropped lines that a record has reported.
std::atomic<std::int64_t> current_second{0};
std::atomic<std::uint64_t> lines_in_second{0};

logger& shared_logger()
{
    static logger instance;
    return instance;
}

void append_escaped(std::string& to, std::string_view text)
{
    constexpr std::string_view digits = "0123456789abcdef";
    to += '"';
    for (const unsigned char c : text) {
        if (c == '"' || c == '\\') {
            to += '\\';
            to += static_cast<char>(c);
        }
        else if (c < 0x20 || c >= 0x7f) {
            to += "\\u00";
            to += digits[c >> 4U];
            to += digits[c & 0x0fU];
        }
        else {
            to += static_cast<char>(c);
        }
    }
    to += '"';
}

void append_field(std::string& to, const log_field& field)
{
    to += ',';
    append_escaped(to, field.name);
    to += ':';
    if (field.is_text) {
        append_escaped(to, std::string_view{field.value}.substr(0, max_value_bytes));
    }
    else {
        to += field.value;
    }
}

/// Applies the rate limit: whether the line may be written. Counts it as dropped otherwise.
bool within_rate(log_level level, std::int64_t second)
{
    if (current_second.exchange(second) != second) {
        lines_in_second = 0;
    }
    const auto max_lines = max_log_lines_per_second * (level >= log_level::warning ? 2 : 1);
    if (lines_in_second < max_lines) {
        ++lines_in_second;
        return true;
    }
    ++dropped;
    return false;
}

template <typename Backend>
void install_sink(const boost::shared_ptr<Backend>& backend)
{
    const auto core = blog::core::get();
    core->remove_all_sinks();
    const auto sink = boost::make_shared<blog::sinks::synchronous_sink<Backend>>(backend);
    sink->set_formatter(blog::expressions::stream << blog::expressions::smessage);
    core->add_sink(sink);
}

} // namespace

log_field::log_field(std::string_view n, double v)
    : name{n}
    , value{fmt::format("{:.3f}", v)}
    , is_text{!std::isfinite(v)}
{
}

void setup_logging(log_level min_level)
{
    install_sink(boost::make_shared<stdout_backend>([] { ++dropped; }));
    minimum_level = static_cast<int>(min_level);
}

void setup_logging(log_level min_level, std::ostream& to)
{
    const auto backend = boost::make_shared<blog::sinks::text_ostream_backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&to, boost::null_deleter{}));
    backend->auto_flush(true);
    install_sink(backend);
    minimum_level = static_cast<int>(min_level);
}

std::uint64_t dropped_log_lines()
{
    return dropped;
}

bool log_enabled(log_level level)
{
    return static_cast<int>(level) >= minimum_level;
}

void log(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    if (!log_enabled(level)) {
        return;
    }
    const auto now = std::chrono::system_clock::now();
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(now.time_since_epoch()).count();
    constexpr std::int64_t micros_per_second = 1'000'000;
    if (!within_rate(level, micros / micros_per_second)) {
        return;
    }
    auto line = fmt::format("{{\"ts\":\"{:%Y-%m-%dT%H:%M:%S}.{:06}Z\",\"level\":\"{}\",\"event\":",
                            fmt::gmtime(static_cast<std::time_t>(micros / micros_per_second)),
                            micros % micros_per_second, log_level_names.at(static_cast<std::size_t>(level)));
    append_escaped(line, event);
    for (const auto& field : fields) {
        append_field(line, field);
    }
    if (const auto total_dropped = dropped.load(); total_dropped > reported_dropped) {
        append_field(line, {"lines_left_out", total_dropped - reported_dropped.exchange(total_dropped)});
    }
    line += '}';
    BOOST_LOG_SEV(shared_logger(), static_cast<int>(level)) << line;
}

} // namespace wagtailhatch
