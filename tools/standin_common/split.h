#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace wagtailhatch::standin {

/// Splits the text at each separator and omits empty parts.
inline std::vector<std::string> split(std::string_view text, char separator)
{
    std::vector<std::string> out;
    while (!text.empty()) {
        const auto end = text.find(separator);
        if (end != 0) {
            out.emplace_back(text.substr(0, end));
        }
        if (end == std::string_view::npos) {
            break;
        }
        text.remove_prefix(end + 1);
    }
    return out;
}

} // namespace wagtailhatch::standin
