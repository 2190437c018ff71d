#include "src/http/header_rules.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace wagtailhatch {
namespace {

/// A table, since every header name of every message is looked at.
constexpr std::array<bool, 256> make_token_characters()
{
    std::array<bool, 256> table{};
    for (const unsigned char c : std::string_view{"!#$%&'*+-.^_`|~0123456789"
                                                  "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"}) {
        table.at(c) = true;
    }
    return table;
}

constexpr auto token_characters = make_token_characters();

} // namespace

std::string to_lower(std::string_view text)
{
    std::string out{text};
    std::transform(out.begin(), out.end(), out.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return out;
}

bool is_token(std::string_view text)
{
    return !text.empty() &&
           std::all_of(text.begin(), text.end(), [](unsigned char c) { return token_characters[c]; });
}

bool names_are_tokens(const http_headers& headers)
{
    return std::all_of(headers.begin(), headers.end(), [](const auto& h) { return is_token(h.name); });
}

bool is_field_value(std::string_view text)
{
    return std::none_of(text.begin(), text.end(), [](char c) { return c == '\r' || c == '\n' || c == '\0'; });
}

std::string_view trim(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t\r\n");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

bool is_chunked_coding(std::string_view value)
{
    return to_lower(trim(value)) == "chunked";
}

bool is_hop_by_hop_header(std::string_view name)
{
    constexpr std::array<std::string_view, 11> names{"connection",
                                                     "keep-alive",
                                                     "proxy-connection",
                                                     "content-length",
                                                     "expect",
                                                     "te",
                                                     "trailer",
                                                     "upgrade",
                                                     "transfer-encoding",
                                                     "proxy-authenticate",
                                                     "proxy-authorization"};
    return std::find(names.begin(), names.end(), to_lower(name)) != names.end();
}

} // namespace wagtailhatch
