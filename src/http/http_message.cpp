#include "include/http/http_message.h"

#include <algorithm>
#include <cctype>

namespace wagtailhatch {
namespace {

bool equal_ignoring_case(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

} // namespace

const std::string* find_header(const http_headers& headers, std::string_view name)
{
    for (const auto& header : headers) {
        if (equal_ignoring_case(header.name, name)) {
            return &header.value;
        }
    }
    return nullptr;
}

} // namespace wagtailhatch
