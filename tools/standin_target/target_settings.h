#pragma once

#include "include/core/clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace wagtailhatch::standin {

/// A call that the target makes for each request.
struct downstream_call {
    std::string method; ///< Empty: that of the request.
    std::string path;
};

enum class load_lie : std::uint8_t { none, frozen, zero };

struct target_settings {
    std::string service;
    std::string node; ///< Local listener of the target's node; empty: announces nothing and calls nobody.
    std::size_t slots = 10;
    std::chrono::microseconds service_time{1000}; ///< Mean.
    std::vector<downstream_call> calls;
    std::chrono::duration<double> cold_time{0};
    double cold_factor = 1;
    std::string crash_marker; ///< A request that contains it ends the process.
    std::string forbidden;    ///< Text that no request may contain, such as a key.
    std::size_t answer_bytes = 100;
    load_lie lie = load_lie::none;
    std::chrono::milliseconds load_lag{0};
    std::uint64_t seed = 1;
};

} // namespace wagtailhatch::standin
