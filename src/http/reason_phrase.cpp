#include "src/http/reason_phrase.h"

#include <algorithm>
#include <array>
#include <utility>

namespace wagtailhatch {

std::string_view reason_phrase(int status)
{
    constexpr std::array<std::pair<int, std::string_view>, 27> phrases{{
        {200, "OK"},
        {201, "Created"},
        {202, "Accepted"},
        {204, "No Content"},
        {206, "Partial Content"},
        {301, "Moved Permanently"},
        {302, "Found"},
        {303, "See Other"},
        {304, "Not Modified"},
        {307, "Temporary Redirect"},
        {308, "Permanent Redirect"},
        {400, "Bad Request"},
        {401, "Unauthorized"},
        {403, "Forbidden"},
        {404, "Not Found"},
        {405, "Method Not Allowed"},
        {408, "Request Timeout"},
        {409, "Conflict"},
        {412, "Precondition Failed"},
        {413, "Content Too Large"},
        {422, "Unprocessable Content"},
        {429, "Too Many Requests"},
        {431, "Request Header Fields Too Large"},
        {500, "Internal Server Error"},
        {502, "Bad Gateway"},
        {503, "Service Unavailable"},
        {504, "Gateway Timeout"},
    }};
    const auto* found = std::find_if(phrases.begin(), phrases.end(),
                                     [status](const auto& entry) { return entry.first == status; });
    return found == phrases.end() ? "Status" : found->second;
}

} // namespace wagtailhatch
