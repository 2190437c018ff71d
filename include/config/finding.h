#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace wagtailhatch {

/// One mistake in a file that an operator wrote.
struct finding {
    std::string file;
    std::size_t line = 0;   ///< From 1; 0: the file as a whole.
    std::size_t column = 0; ///< From 1; 0: the line or file as a whole.
    std::string problem;    ///< What is wrong.
    std::string remedy;     ///< What would be right.
};

/// "file:line:column: problem; remedy".
std::string to_string(const finding& f);

/// One finding a line, sorted by file and place.
std::string to_string(std::vector<finding> findings);

/// A value, or every mistake that prevented it. Nothing is accepted in part: value is set only if findings is
/// empty.
template <typename T>
struct parsed {
    std::optional<T> value;
    std::vector<finding> findings;

    explicit operator bool() const { return value.has_value(); }
};

} // namespace wagtailhatch
