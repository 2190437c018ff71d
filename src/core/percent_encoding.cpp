#include "src/core/percent_encoding.h"

#include <cctype>
#include <charconv>

namespace wagtailhatch {

std::string percent_encode(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string out;
    out.reserve(text.size());
    for (const unsigned char c : text) {
        if (c < 0x80 && (std::isalnum(c) != 0 || c == '-' || c == '.' || c == '_' || c == '~')) {
            out.push_back(static_cast<char>(c));
            continue;
        }
        out.push_back('%');
        out.push_back(digits[c >> 4U]);
        out.push_back(digits[c & 0x0fU]);
    }
    return out;
}

std::optional<std::string> percent_decode(std::string_view text)
{
    std::string out;
    out.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            out.push_back(text[i]);
            continue;
        }
        if (text.size() - i < 3) {
            return std::nullopt;
        }
        unsigned char byte = 0;
        const auto* first = text.data() + i + 1;
        const auto parsed = std::from_chars(first, first + 2, byte, 16);
        if (parsed.ec != std::errc{} || parsed.ptr != first + 2) {
            return std::nullopt;
        }
        out.push_back(static_cast<char>(byte));
        i += 2;
    }
    return out;
}

} // namespace wagtailhatch
