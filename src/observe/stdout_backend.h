#pragma once

#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/frontend_requirements.hpp>

#include <functional>
#include <string>

namespace wagtailhatch {

/// Non-blocking Boost.Log sink backend for standard output. Lines that the reader has not consumed are
/// buffered up to a bound; further lines are dropped.
class stdout_backend
    : public boost::log::sinks::basic_formatted_sink_backend<char, boost::log::sinks::synchronized_feeding> {
public:
    /// on_drop: called for each dropped line.
    explicit stdout_backend(std::function<void()> on_drop)
        : on_drop_{std::move(on_drop)}
    {
    }

    /// Called by Boost.Log for each line, with calls serialized.
    void consume(const boost::log::record_view& record, const string_type& line);

private:
    void write_available();

    std::function<void()> on_drop_;
    std::string pending_;
};

} // namespace wagtailhatch
