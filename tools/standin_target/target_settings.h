#pragma once

#include "include/core/clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace wagtailhatch::standin {

/// A call that the target makes to another service for each request.
struct downstream_call {
    std::string host;
    std::string path;
};

struct target_settings {
    std::string service;
    std::string zone;
    std::string instance;     ///< Id of this instance; a restarted process has a new one.
    std::string node_callers; ///< Address that downstream calls are sent to; if empty, none are made.
    std::string node_control; ///< Control address of its node; if empty, it does not register.
    std::size_t slots = 10;   ///< Maximum number of concurrent requests.
    std::chrono::microseconds service_time{1000}; ///< Mean of an exponential distribution.
    std::chrono::milliseconds announce_interval{500};
    std::chrono::milliseconds drain_time{1500}; ///< Serving continues for this long after a drain starts.
    std::vector<downstream_call> calls;
    std::string crash_marker;       ///< A request that contains it makes the process exit at once.
    std::string forbidden;          ///< Text that no request may contain, such as an API key.
    std::size_t answer_bytes = 100; ///< Filler in each response.
    std::uint64_t seed = 1;
};

} // namespace wagtailhatch::standin
