#pragma once

#include <absl/flags/parse.h>

#include <algorithm>
#include <cstring>

namespace wagtailhatch::standin {

/// Parses the command line. Abseil flag names use '_'; '-' is accepted as well. Modifies argv.
inline void parse_flags(int argc, char** argv)
{
    for (int i = 1; i < argc; ++i) {
        if (std::strncmp(argv[i], "--", 2) == 0) {
            auto* end = argv[i] + std::strcspn(argv[i], "=");
            std::replace(argv[i] + 2, end, '-', '_');
        }
    }
    absl::ParseCommandLine(argc, argv);
}

} // namespace wagtailhatch::standin
