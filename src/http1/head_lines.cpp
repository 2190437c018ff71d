#include "src/http1/head_lines.h"

#include <algorithm>

namespace wagtailhatch {

head_lines::place head_lines::next(place from, char c)
{
    switch (from) {
    case place::before_start: // Empty lines in front of the start line are skipped.
        return c == '\r' || c == '\n' ? place::before_start : place::line;
    case place::line:
        if (c == '\r') {
            return place::line_end;
        }
        return c == '\n' ? place::line_begin : place::line;
    case place::line_end:
        return c == '\n' ? place::line_begin : place::fault;
    case place::line_begin:
        if (c == ' ' || c == '\t') {
            return place::fault;
        }
        if (c == '\r') {
            return place::empty_line;
        }
        return c == '\n' ? place::end : place::line;
    case place::empty_line:
        return c == '\n' ? place::end : place::fault;
    case place::end:
    case place::fault:
        break;
    }
    return place::fault;
}

std::size_t head_lines::scan(std::string_view bytes)
{
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        if (place_ == place::line) {
            const auto line = bytes.substr(i, bytes.find('\n', i) - i);
            i += std::min(line.find('\r'), line.size());
            if (i == bytes.size()) {
                break;
            }
        }
        place_ = next(place_, bytes[i]);
        if (place_ == place::fault) {
            return i;
        }
        if (place_ == place::end) {
            return i + 1;
        }
    }
    return bytes.size();
}

} // namespace wagtailhatch
