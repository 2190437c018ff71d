#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace wagtailhatch {

/// Position of a service in the file.
struct source_position {
    std::size_t line = 0;
    std::size_t column = 0;
};

/// A call to a service and the position where the file lists it.
struct called_service {
    std::string name;
    std::size_t line = 0;
    std::size_t column = 0;
};

/// Defined services with their positions, and their calls.
struct call_graph {
    std::map<std::string, source_position> positions;
    std::map<std::string, std::vector<called_service>> calls;
};

using call_error_callback =
    std::function<void(const source_position&, std::string problem, std::string remedy)>;

/// Reports calls to undefined services, duplicate calls, every call that closes a cycle, and the longest
/// chain if it has more than max_depth services.
void check_call_graph(const call_graph& graph, std::size_t max_depth, const call_error_callback& report);

} // namespace wagtailhatch
