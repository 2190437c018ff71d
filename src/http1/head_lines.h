#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace wagtailhatch {

/// Follows the lines of a message's head, to find its end and the folded lines that http-parser joins with
/// the line before them.
class head_lines {
public:
    /// Returns how many of the next bytes of the message belong to the head and are sound. All of them do if
    /// the head has ended before.
    std::size_t scan(std::string_view bytes);

    /// Whether a line begins with a blank. Its readers differ in whether it is folded, a field or neither.
    bool faulty() const { return place_ == place::fault; }

private:
    enum class place : std::uint8_t { before_start, line, line_begin, empty_line, end, fault };

    static place next(place from, char c);

    place place_ = place::before_start;
};

} // namespace wagtailhatch
