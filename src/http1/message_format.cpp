#include "src/http1/message_format.h"

#include "src/http/header_rules.h"
#include "src/http/reason_phrase.h"

#include <fmt/format.h>

#include <algorithm>

namespace wagtailhatch {
namespace {

char lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool usually_has_body(std::string_view method)
{
    return method == "POST" || method == "PUT" || method == "PATCH";
}

void append_headers(std::string& out, const http_headers& headers)
{
    for (const auto& header : headers) {
        out += header.name;
        out += ": ";
        out += header.value;
        out += "\r\n";
    }
}

bool list_contains_token(std::string_view list, std::string_view token)
{
    while (!list.empty()) {
        const auto end = std::min(list.find(','), list.size());
        if (equal_ignoring_case(trim(list.substr(0, end)), token)) {
            return true;
        }
        list.remove_prefix(std::min(end + 1, list.size()));
    }
    return false;
}

} // namespace

bool equal_ignoring_case(std::string_view a, std::string_view b)
{
    return a.size() == b.size() &&
           std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return lower(x) == lower(y); });
}

void remove_hop_by_hop_headers(http_headers& headers)
{
    std::string named;
    for (const auto& header : headers) {
        if (equal_ignoring_case(header.name, "connection")) {
            named += named.empty() ? "" : ",";
            named += header.value;
        }
    }
    std::erase_if(headers, [&](const http_header& header) {
        return is_hop_by_hop_header(header.name) || list_contains_token(named, header.name);
    });
}

std::string format_request_head(const http_request& request, std::size_t body_size)
{
    std::string out;
    out.reserve(512);
    out += request.method;
    out += ' ';
    out += request.target;
    out += " HTTP/1.1\r\n";
    append_headers(out, request.headers);
    if (body_size > 0 || usually_has_body(request.method)) {
        out += fmt::format("Content-Length: {}\r\n", body_size);
    }
    out += "\r\n";
    return out;
}

std::string format_response_head(int status, const http_headers& headers, const body_framing& framing,
                                 std::string_view extra_headers)
{
    std::string out;
    out.reserve(512);
    out += fmt::format("HTTP/1.1 {} {}\r\n", status, reason_phrase(status));
    append_headers(out, headers);
    if (framing.length) {
        out += fmt::format("Content-Length: {}\r\n", *framing.length);
    }
    else if (!framing.ends_with_connection) {
        out += "Transfer-Encoding: chunked\r\n";
    }
    if (framing.close) {
        out += "Connection: close\r\n";
    }
    out += extra_headers;
    out += "\r\n";
    return out;
}

std::string format_chunk(std::string_view bytes)
{
    auto out = fmt::format("{:x}\r\n", bytes.size());
    out += bytes;
    out += "\r\n";
    return out;
}

} // namespace wagtailhatch
