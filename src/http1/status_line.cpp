#include "src/http1/status_line.h"

#include "include/http/http_status.h"

#include <algorithm>

namespace wagtailhatch {
namespace {

bool is_digit(char c)
{
    return c >= '0' && c <= '9';
}

} // namespace

bool valid_status_line(std::string_view begin)
{
    constexpr std::string_view version = "HTTP/1.";
    if (begin.size() < status_line_prefix || begin.substr(0, version.size()) != version) {
        return false;
    }
    const auto digits = begin.substr(9, 3);
    const bool framed =
        is_digit(begin[7]) && begin[8] == ' ' && std::string_view{" \r\n"}.find(begin[12]) < 3;
    if (!framed || !std::all_of(digits.begin(), digits.end(), is_digit)) {
        return false;
    }
    const int status = (digits[0] - '0') * 100 + (digits[1] - '0') * 10 + (digits[2] - '0');
    return http_status::is_interim(status) || http_status::is_final(status);
}

} // namespace wagtailhatch
