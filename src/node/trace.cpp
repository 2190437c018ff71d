#include "src/node/trace.h"

#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <string_view>

namespace wagtailhatch {
namespace {

int hex_value(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

template <typename Bytes>
bool read_hex(std::string_view text, Bytes& out)
{
    for (std::size_t i = 0; i < out.size(); ++i) {
        const int high = hex_value(text[2 * i]);
        const int low = hex_value(text[2 * i + 1]);
        if (high < 0 || low < 0) {
            return false;
        }
        out[i] = static_cast<std::uint8_t>(high * 16 + low);
    }
    return std::any_of(out.begin(), out.end(), [](std::uint8_t b) { return b != 0; });
}

} // namespace

std::string format_traceparent(const trace_context& trace)
{
    return fmt::format("00-{:02x}-{:02x}-{}", fmt::join(trace.trace_id, ""), fmt::join(trace.span_id, ""),
                       trace.sampled ? "01" : "00");
}

trace_context read_traceparent(const http_headers& headers)
{
    const auto* text = find_header(headers, "traceparent");
    trace_context trace;
    constexpr std::size_t length = 55;
    if (text == nullptr || text->size() != length || text->rfind("00-", 0) != 0 || (*text)[35] != '-' ||
        (*text)[52] != '-' || !read_hex(std::string_view{*text}.substr(3, 32), trace.trace_id) ||
        !read_hex(std::string_view{*text}.substr(36, 16), trace.span_id)) {
        return {};
    }
    trace.sampled = (hex_value(text->back()) & 1) == 1;
    return trace;
}

trace_context child_span(const trace_context& parent, random_source& random)
{
    trace_context child = parent;
    const auto fill = [&random](auto& bytes) {
        for (auto& byte : bytes) {
            byte = static_cast<std::uint8_t>(random.below(256));
        }
    };
    if (parent.trace_id == decltype(parent.trace_id){}) {
        fill(child.trace_id);
    }
    fill(child.span_id);
    return child;
}

} // namespace wagtailhatch
