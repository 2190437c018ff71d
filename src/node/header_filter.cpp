#include "src/node/header_filter.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace wagtailhatch {
namespace {

std::string lower(std::string_view text)
{
    std::string out{text};
    std::transform(out.begin(), out.end(), out.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return out;
}

constexpr std::array<std::string_view, 10> hop_by_hop{"connection",
                                                      "keep-alive",
                                                      "proxy-authenticate",
                                                      "proxy-connection",
                                                      "te",
                                                      "trailer",
                                                      "transfer-encoding",
                                                      "upgrade",
                                                      "content-length",
                                                      "expect"};

bool is_hop_by_hop(const std::string& name)
{
    return std::find(hop_by_hop.begin(), hop_by_hop.end(), name) != hop_by_hop.end();
}

// Header names that some servers treat as equal to '-' spellings, as CGI does with '_'.
std::string canonical_name(std::string_view name)
{
    std::string out = lower(name);
    std::replace(out.begin(), out.end(), '_', '-');
    return out;
}

bool is_reserved(const std::string& name)
{
    return name.rfind("wh-", 0) == 0;
}

// Names listed in a `Connection` header are hop-by-hop too (RFC 9110, section 7.6.1).
std::string connection_options(const http_headers& headers)
{
    std::string all;
    for (const auto& h : headers) {
        if (lower(h.name) == "connection") {
            all += "," + lower(h.value) + ",";
        }
    }
    all.erase(std::remove(all.begin(), all.end(), ' '), all.end());
    return all;
}

template <typename Predicate>
void remove_headers(http_headers& headers, Predicate drop)
{
    const auto listed = connection_options(headers);
    std::erase_if(headers, [&](const http_header& h) {
        const auto name = canonical_name(h.name);
        return drop(name) || is_hop_by_hop(name) || is_reserved(name) ||
               listed.find("," + name + ",") != std::string::npos;
    });
}

int hex_digit(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    const auto l = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return l >= 'a' && l <= 'f' ? l - 'a' + 10 : -1;
}

std::string percent_decoded(std::string_view text)
{
    std::string out;
    out.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size() && hex_digit(text[i + 1]) >= 0 &&
            hex_digit(text[i + 2]) >= 0) {
            out.push_back(static_cast<char>(hex_digit(text[i + 1]) * 16 + hex_digit(text[i + 2])));
            i += 2;
        }
        else {
            out.push_back(text[i]);
        }
    }
    return out;
}

bool contains(std::string_view text, std::string_view key)
{
    return text.find(key) != std::string_view::npos;
}

} // namespace

void filter_request_headers(http_headers& headers)
{
    remove_headers(headers, [](const std::string& name) {
        return name == "authorization" || name == "proxy-authorization" || name == "host";
    });
}

void filter_response_headers(http_headers& headers)
{
    remove_headers(headers, [](const std::string&) { return false; });
}

bool key_leaks(const http_request& request, std::string_view key)
{
    if (key.empty()) {
        return false;
    }
    if (contains(request.target, key) || contains(percent_decoded(request.target), key) ||
        contains(request.body, key) || contains(percent_decoded(request.body), key)) {
        return true;
    }
    return std::any_of(request.headers.begin(), request.headers.end(), [&](const http_header& h) {
        return lower(h.name) != "authorization" && (contains(h.value, key) || contains(h.name, key));
    });
}

std::string bearer_token(const http_headers& headers)
{
    std::string token;
    std::size_t seen = 0;
    for (const auto& h : headers) {
        if (lower(h.name) != "authorization") {
            continue;
        }
        ++seen;
        constexpr std::string_view scheme = "bearer ";
        if (lower(h.value).rfind(scheme, 0) == 0) {
            token = h.value.substr(scheme.size());
        }
    }
    while (!token.empty() && token.back() == ' ') {
        token.pop_back();
    }
    token.erase(0, std::min(token.find_first_not_of(' '), token.size()));
    return seen == 1 ? token : std::string{};
}

} // namespace wagtailhatch
