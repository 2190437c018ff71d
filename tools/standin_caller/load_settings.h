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
    std::string host;
    std::string path;
    bool idempotent = true; ///< If false, retried only if it was certainly not executed.
};

struct workspace_key {
    std::string workspace;
    std::string key;
};

struct load_settings {
    std::vector<std::string> nodes;
    std::size_t requests = 100;
    double rate = 100; ///< Requests per second, independent of the completion of earlier ones.
    std::vector<weighted_path> paths;
    std::vector<workspace_key> keys;         ///< If empty, requests carry no key.
    std::chrono::milliseconds timeout{1000}; ///< Of each attempt.
    std::size_t retries = 0;
    std::chrono::milliseconds retry_delay{20};
    std::uint64_t seed = 1;
    std::size_t body_bytes = 64;
    std::string body_marker; ///< Text included in each request body.
    std::string id_prefix;   ///< Keeps the request ids of concurrent callers distinct.
};

} // namespace wagtailhatch::standin
