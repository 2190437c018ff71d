#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace wagtailhatch::standin {

struct weighted_path {
    double weight = 1;
    std::string method;
    std::string path;
    bool run_once = false;
};

struct workspace_key {
    std::string workspace;
    std::string key;
};

struct load_settings {
    std::vector<std::string> nodes;
    std::size_t requests = 100;
    double rate = 100; ///< Requests a second, started whether or not earlier ones ended.
    std::vector<weighted_path> paths;
    std::vector<workspace_key> keys; ///< Empty: no key is sent.
    std::chrono::milliseconds timeout{1000};
    std::size_t retries = 0;
    std::chrono::milliseconds retry_delay{20};
    std::uint64_t seed = 1;
    std::size_t body_bytes = 64;
    std::string body_marker;    ///< Put into each body.
    std::string order_prefix;   ///< Makes order ids of several callers differ.
    bool order_query = false;   ///< Adds `order=<id>` to the query of requests that are not run-once.
    bool first_attempt = false; ///< Sends `wh-first-attempt: 1` with the first sending of an order.
};

} // namespace wagtailhatch::standin
