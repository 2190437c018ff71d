#pragma once

#include <cstdint>
#include <string_view>

namespace wagtailhatch {

/// Part of a body in chunked transfer coding. Each ends with a line end.
enum class chunk_part : std::uint8_t {
    size_line, ///< Size and extensions of a chunk.
    data,      ///< Data of a chunk.
    trailers,  ///< What follows the size of the last chunk.
};

/// Checks the line ends between the parts of a body in chunked transfer coding: http-parser takes any bytes
/// for most of them, also where a chunk is longer than its size.
class chunk_lines {
public:
    /// Takes the next bytes of the current part, and returns whether they are sound.
    bool accept(std::string_view bytes);

    /// The current part is complete. Returns whether it has ended with a line end. next: the part that
    /// follows it.
    bool end_part(chunk_part next);

private:
    chunk_part part_ = chunk_part::size_line;
    char last_ = 0; ///< Last byte.
    char last_but_one_ = 0;
};

} // namespace wagtailhatch
