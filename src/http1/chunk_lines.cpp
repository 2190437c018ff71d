#include "src/http1/chunk_lines.h"

namespace wagtailhatch {

bool chunk_lines::accept(std::string_view bytes)
{
    if (bytes.empty()) {
        return true;
    }
    // Some readers end the size line at a line feed in an extension.
    const bool line_went_on = part_ == chunk_part::size_line && last_ == '\n';
    const auto before_last = bytes.substr(0, bytes.size() - 1);
    last_but_one_ = before_last.empty() ? last_ : before_last.back();
    last_ = bytes.back();
    return !line_went_on &&
           (part_ != chunk_part::size_line || before_last.find('\n') == std::string_view::npos);
}

bool chunk_lines::end_part(chunk_part next)
{
    const bool sound = last_but_one_ == '\r' && last_ == '\n';
    part_ = next;
    last_ = 0;
    last_but_one_ = 0;
    return sound;
}

} // namespace wagtailhatch
