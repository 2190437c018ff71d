#include "src/node/trace.h"

#include <string>

namespace wagtailhatch {

trace_context child_span(const trace_context& parent, random_source& random)
{
    trace_context child = parent;
    const auto fill = [&random](auto& bytes) {
        for (auto& byte : bytes) {
            byte = static_cast<std::uint8_t>(random.below(256));
        }
    };
    if (parent.trace_id == decltype(parent.trace_id){}) {
        fill(child.trace_id);
    }
    fill(child.span_id);
    return child;
}

} // namespace wagtailhatch
