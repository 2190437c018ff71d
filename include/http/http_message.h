#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace wagtailhatch {

struct http_header {
    std::string name;
    std::string value;
};

using http_headers = std::vector<http_header>;

/// Value of the first header with this name, ignoring ASCII case; nullptr if absent.
const std::string* find_header(const http_headers& headers, std::string_view name);

struct http_request {
    std::string method;
    std::string target; ///< Path and query as received.
    http_headers headers;
    std::string body;
};

struct http_response {
    int status = 200;
    http_headers headers;
    std::string body;
};

} // namespace wagtailhatch
