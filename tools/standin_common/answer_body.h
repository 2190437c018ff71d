#pragma once

#include <xxhash.h>

#include <cstdio>
#include <cstdlib>
#include <string>
#include <string_view>

namespace wagtailhatch::standin {

/// Fields of a stand-in target's response body: header lines that identify the request, an empty line,
/// filler, and a checksum of everything before it.
struct answer_parts {
    std::string request_id;
    std::string service;
    std::string calls;      ///< "path=status" of each downstream call, space-separated.
    std::size_t filler = 0; ///< Bytes.
};

constexpr std::size_t checksum_size = 16; // Hex digits of a 64-bit hash.

inline std::string checksum(std::string_view text)
{
    char digits[checksum_size + 1] = {};
    std::snprintf(digits, sizeof digits, "%016llx",
                  static_cast<unsigned long long>(XXH64(text.data(), text.size(), 0)));
    return digits;
}

inline std::string make_answer_body(const answer_parts& parts)
{
    auto out = "request-id: " + parts.request_id + "\nservice: " + parts.service + "\ncalls: " + parts.calls +
               "\nfiller: " + std::to_string(parts.filler) + "\n\n";
    out.append(parts.filler, 'x');
    return out + checksum(out);
}

/// Returns whether the body is complete, has a valid checksum and belongs to the request with that id.
inline bool is_valid_answer(std::string_view body, std::string_view request_id)
{
    if (body.size() < checksum_size) {
        return false;
    }
    const auto text = body.substr(0, body.size() - checksum_size);
    const auto head = "request-id: " + std::string{request_id} + "\n";
    const auto end = text.find("\n\n");
    const auto filler = text.rfind("\nfiller: ", end);
    if (!text.starts_with(head) || end == std::string_view::npos || filler == std::string_view::npos) {
        return false;
    }
    const auto length =
        std::strtoull(std::string{text.substr(filler + 9, end - filler - 9)}.c_str(), nullptr, 10);
    return text.size() - end - 2 == length && checksum(text) == body.substr(text.size());
}

} // namespace wagtailhatch::standin
