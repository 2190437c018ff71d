#pragma once

#include <cstdio>
#include <fstream>
#include <malloc.h>
#include <string>

namespace wagtailhatch::bench {

/// Bytes in use on the heap.
inline double heap_bytes()
{
    const auto m = mallinfo2();
    return static_cast<double>(m.uordblks) + static_cast<double>(m.hblkhd);
}

/// A field of /proc/<pid>/status in KiB, such as "VmRSS"; 0 if it cannot be read.
inline double status_kib(const std::string& pid, const std::string& field)
{
    std::ifstream in{"/proc/" + pid + "/status"};
    std::string word;
    while (in >> word) {
        if (word == field + ":") {
            double kib = 0;
            in >> kib;
            return kib;
        }
    }
    return 0;
}

/// Starts a new measurement of this process's highest resident memory.
inline void reset_peak()
{
    malloc_trim(0);
    std::ofstream{"/proc/self/clear_refs"} << "5";
}

} // namespace wagtailhatch::bench
