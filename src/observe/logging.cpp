#include "include/observe/logging.h"

#include <boost/core/null_deleter.hpp>
#include <boost/date_time/posix_time/posix_time_types.hpp>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/make_shared.hpp>

#include <algorithm>
#include <atomic>
#include <iostream>

namespace wagtailhatch {
namespace {

namespace blog = boost::log;
using text_sink = blog::sinks::synchronous_sink<blog::sinks::text_ostream_backend>;
using logger = blog::sources::severity_logger_mt<int>;

/// Values that come from outside must not fill the disk of whoever keeps the log.
constexpr std::size_t max_value = 1024;

std::atomic<int> least_level{static_cast<int>(log_level::info)};

logger& shared_logger()
{
    static logger instance;
    return instance;
}

bool is_plain(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return c > 0x20 && c < 0x7f && c != '"' && c != '\\' && c != '=';
    });
}

void append_quoted(std::string& to, std::string_view text)
{
    constexpr std::string_view digits = "0123456789abcdef";
    to += '"';
    for (const unsigned char c : text) {
        if (c == '"' || c == '\\') {
            to += '\\';
            to += static_cast<char>(c);
        }
        else if (c < 0x20 || c == 0x7f) {
            to += "\\x";
            to += digits[c >> 4U];
            to += digits[c & 0x0fU];
        }
        else {
            to += static_cast<char>(c);
        }
    }
    to += '"';
}

void append_field(std::string& to, std::string_view name, std::string_view value)
{
    to += ' ';
    to += name;
    to += '=';
    const auto bounded = value.substr(0, max_value);
    if (is_plain(bounded)) {
        to += bounded;
    }
    else {
        append_quoted(to, bounded);
    }
}

} // namespace

void setup_logging(log_level least)
{
    setup_logging(least, std::cerr);
}

void setup_logging(log_level least, std::ostream& to)
{
    namespace expr = blog::expressions;
    const auto core = blog::core::get();
    core->remove_all_sinks();
    const auto backend = boost::make_shared<blog::sinks::text_ostream_backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&to, boost::null_deleter{}));
    backend->auto_flush(true);
    const auto sink = boost::make_shared<text_sink>(backend);
    sink->set_formatter(
        expr::stream << "ts="
                     << expr::format_date_time<boost::posix_time::ptime>("TimeStamp", "%Y-%m-%dT%H:%M:%S.%fZ")
                     << expr::smessage);
    core->add_sink(sink);
    const auto attributes = core->get_global_attributes();
    if (attributes.find("TimeStamp") == attributes.end()) {
        core->add_global_attribute("TimeStamp", blog::attributes::utc_clock{});
    }
    least_level = static_cast<int>(least);
}

bool log_enabled(log_level level)
{
    return static_cast<int>(level) >= least_level;
}

void log(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    if (!log_enabled(level)) {
        return;
    }
    std::string line;
    append_field(line, "level", log_level_names.at(static_cast<std::size_t>(level)));
    append_field(line, "event", event);
    for (const auto& field : fields) {
        append_field(line, field.name, field.value);
    }
    BOOST_LOG_SEV(shared_logger(), static_cast<int>(level)) << line;
}

} // namespace wagtailhatch
