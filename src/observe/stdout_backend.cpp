#include "src/observe/stdout_backend.h"

#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace wagtailhatch {
namespace {

constexpr std::size_t max_pending_bytes = std::size_t{128} << 10;
// A pipe that polls as writable accepts this many bytes without blocking.
constexpr std::size_t nonblocking_write_bytes = PIPE_BUF;

bool writable()
{
    pollfd out{STDOUT_FILENO, POLLOUT, 0};
    return poll(&out, 1, 0) == 1 && (out.revents & POLLOUT) != 0;
}

} // namespace

void stdout_backend::consume(const boost::log::record_view&, const string_type& line)
{
    if (pending_.size() + line.size() > max_pending_bytes) {
        on_drop_();
    }
    else {
        pending_ += line;
        pending_ += '\n';
    }
    write_available();
}

void stdout_backend::write_available()
{
    std::size_t written = 0;
    while (written < pending_.size() && writable()) {
        const auto n = ::write(STDOUT_FILENO, pending_.data() + written,
                               std::min(nonblocking_write_bytes, pending_.size() - written));
        if (n <= 0) {
            break;
        }
        written += static_cast<std::size_t>(n);
    }
    pending_.erase(0, written);
}

} // namespace wagtailhatch
