#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace wagtailhatch {

/// Diagnostic about an error in an operator's file.
struct finding {
    std::string file;
    std::size_t line = 0;   ///< From 1; 0: applies to the whole file.
    std::size_t column = 0; ///< From 1; 0: applies to the whole line or file.
    std::string problem;    ///< What is wrong.
    std::string remedy;     ///< How to correct it; may be empty.
};

/// Formats as "file:line:column: problem; remedy".
std::string to_string(const finding& f);

/// Formats one finding per line, sorted by file, line and column.
std::string to_string(std::vector<finding> findings);

/// Result of parsing: a value, or the errors that prevented it. Input is never accepted in part: value is set
/// only if findings is empty.
template <typename T>
struct parsed {
    std::optional<T> value;
    std::vector<finding> findings;

    explicit operator bool() const { return value.has_value(); }
};

} // namespace wagtailhatch
