#pragma once

#include <cstdint>
#include <cstdio>

namespace wagtailhatch::standin {

/// Reports to the parent process on stdout that this process accepts connections, and on which port.
inline void print_ready(std::uint16_t port)
{
    std::printf("ready port=%u\n", static_cast<unsigned>(port));
    std::fflush(stdout);
}

} // namespace wagtailhatch::standin
