#include "include/observe/trace_parent.h"

#include "include/core/random_source.h"

#include <algorithm>
#include <array>
#include <cstdint>

namespace wagtailhatch {
namespace {

/// Length of "00-<32 digits>-<16 digits>-<2 digits>".
constexpr std::size_t version_00_size = 55;

int hex_digit_value(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

template <std::size_t Size>
bool read_hex(std::string_view text, std::array<std::uint8_t, Size>& to)
{
    for (std::size_t i = 0; i < Size; ++i) {
        const int high = hex_digit_value(text[2 * i]);
        const int low = hex_digit_value(text[2 * i + 1]);
        if (high < 0 || low < 0) {
            return false;
        }
        to[i] = static_cast<std::uint8_t>(high * 16 + low);
    }
    return true;
}

template <std::size_t Size>
std::string to_hex(const std::array<std::uint8_t, Size>& bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string out;
    out.reserve(2 * Size);
    for (const auto byte : bytes) {
        out.push_back(digits[byte >> 4U]);
        out.push_back(digits[byte & 0x0fU]);
    }
    return out;
}

template <std::size_t Size>
bool is_zero(const std::array<std::uint8_t, Size>& bytes)
{
    return std::all_of(bytes.begin(), bytes.end(), [](auto byte) { return byte == 0; });
}

/// Generates a random id. All-zero ids are invalid and are generated again.
template <std::size_t Size>
void generate_id(std::array<std::uint8_t, Size>& to, random_source& random)
{
    do {
        for (auto& byte : to) {
            byte = static_cast<std::uint8_t>(random.below(256));
        }
    } while (is_zero(to));
}

} // namespace

std::optional<trace_context> parse_traceparent(std::string_view text)
{
    if (text.size() < version_00_size || text[2] != '-' || text[35] != '-' || text[52] != '-') {
        return std::nullopt;
    }
    std::array<std::uint8_t, 1> version{};
    std::array<std::uint8_t, 1> flags{};
    trace_context out;
    if (!read_hex(text.substr(0, 2), version) || !read_hex(text.substr(3, 32), out.trace_id) ||
        !read_hex(text.substr(36, 16), out.span_id) || !read_hex(text.substr(53, 2), flags)) {
        return std::nullopt;
    }
    // Later versions may append fields; version 255 is invalid.
    const bool longer = text.size() > version_00_size;
    if (version[0] == 0xff || (longer && (version[0] == 0 || text[version_00_size] != '-'))) {
        return std::nullopt;
    }
    if (is_zero(out.trace_id) || is_zero(out.span_id)) {
        return std::nullopt;
    }
    out.sampled = (flags[0] & 1U) != 0;
    return out;
}

std::string format_traceparent(const trace_context& context)
{
    return "00-" + to_hex(context.trace_id) + "-" + to_hex(context.span_id) +
           (context.sampled ? "-01" : "-00");
}

trace_context new_trace(random_source& random, bool sampled)
{
    trace_context out;
    generate_id(out.trace_id, random);
    generate_id(out.span_id, random);
    out.sampled = sampled;
    return out;
}

trace_context child_span(const trace_context& parent, random_source& random)
{
    auto out = parent;
    out.parent_id = parent.span_id;
    generate_id(out.span_id, random);
    return out;
}

std::string trace_id_text(const trace_context& context)
{
    return to_hex(context.trace_id);
}

std::string span_id_text(const trace_context& context)
{
    return to_hex(context.span_id);
}

} // namespace wagtailhatch
