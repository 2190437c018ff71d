#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace wagtailhatch {

/// Follows the lines of a message's head, to find its end and what http-parser reads otherwise than HTTP:
/// folded lines, which it joins with the line before them, and bytes that it takes for a line feed.
class head_lines {
public:
    /// Returns how many of the next bytes of the message belong to the head and are sound.
    std::size_t scan(std::string_view bytes);

    /// Whether readers differ in the lines: one begins with a blank, a carriage return ends none, or bytes of
    /// the head follow its end.
    bool faulty() const { return place_ == place::fault; }

private:
    enum class place : std::uint8_t { before_start, line, line_end, line_begin, empty_line, end, fault };

    static place next(place from, char c);

    place place_ = place::before_start;
};

} // namespace wagtailhatch
