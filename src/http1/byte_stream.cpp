#include "src/http1/byte_stream.h"

#include <asio/buffer.hpp>
#include <asio/error.hpp>
#include <asio/post.hpp>

#include <array>
#include <poll.h>
#include <utility>

namespace wagtailhatch {
namespace {

constexpr std::size_t read_size = std::size_t{32} << 10;
// Reads per readiness event, so that one fast sender does not starve the other connections.
constexpr int max_reads_per_event = 4;
// Small buffers are coalesced into one write up to this size.
constexpr std::size_t max_coalesced_write = std::size_t{16} << 10;

std::array<char, read_size>& shared_read_buffer()
{
    static thread_local std::array<char, read_size> buffer;
    return buffer;
}

bool would_block(const std::error_code& ec)
{
    return ec == asio::error::would_block || ec == asio::error::try_again;
}

} // namespace

byte_stream::byte_stream(asio::ip::tcp::socket socket)
    : socket_{std::move(socket)}
{
}

void byte_stream::start_reading()
{
    open_ = true;
    wait_readable();
}

void byte_stream::pause_reading()
{
    paused_ = true;
}

void byte_stream::resume_reading()
{
    if (!std::exchange(paused_, false)) {
        return;
    }
    wait_readable();
}

void byte_stream::check_peer_while_paused()
{
    if (!open_ || !paused_) {
        return;
    }
    pollfd state{socket_.native_handle(), POLLRDHUP, 0};
    if (poll(&state, 1, 0) == 1 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0) {
        fail(asio::error::connection_aborted);
    }
}

void byte_stream::close()
{
    open_ = false;
    std::error_code ignored;
    socket_.close(ignored);
    queue_.clear();
    unsent_ = 0;
}

void byte_stream::fail(const std::error_code& reason)
{
    if (!open_) {
        return;
    }
    const auto keep = shared_from_this();
    close();
    on_closed(write_error_ ? write_error_ : reason);
}

void byte_stream::on_peer_end()
{
    if (unsent_ > 0 && !write_error_ && end_requires_sending()) {
        peer_ended_ = true;
        return;
    }
    fail({});
}

void byte_stream::wait_readable()
{
    if (!open_ || paused_ || reading_ || peer_ended_) {
        return;
    }
    reading_ = true;
    socket_.async_wait(asio::ip::tcp::socket::wait_read,
                       [this, keep = shared_from_this()](const std::error_code& ec) {
                           reading_ = false;
                           if (ec) {
                               fail(ec);
                               return;
                           }
                           read_available();
                       });
}

void byte_stream::read_available()
{
    const auto keep = shared_from_this();
    auto& buffer = shared_read_buffer();
    bool received = false;
    // Continues after a short read: the end of the stream may directly follow the bytes.
    for (int i = 0; i < max_reads_per_event && open_ && !paused_; ++i) {
        std::error_code ec;
        const auto n = socket_.read_some(asio::buffer(buffer), ec);
        if (would_block(ec)) {
            break;
        }
        if (ec == asio::error::eof) {
            on_peer_end();
            return;
        }
        if (ec) {
            fail(ec);
            return;
        }
        received = true;
        on_bytes({buffer.data(), n});
    }
    if (received && open_) {
        on_read_end();
    }
    wait_readable();
}

void byte_stream::send(std::string bytes)
{
    if (!open_ || bytes.empty()) {
        return;
    }
    unsent_ += bytes.size();
    if (!queue_.empty() && queue_.back().size() + bytes.size() <= max_coalesced_write && queue_.size() > 1) {
        queue_.back() += bytes;
    }
    else {
        queue_.push_back(std::move(bytes));
    }
    if (!writing_) {
        write_available();
    }
}

void byte_stream::finish_sending()
{
    finishing_ = true;
    if (!writing_) {
        write_available();
    }
}

void byte_stream::reset_unless_finished()
{
    if (!resets_) {
        set_reset_on_close(true);
    }
}

void byte_stream::set_reset_on_close(bool reset)
{
    resets_ = reset;
    std::error_code ignored;
    socket_.set_option(asio::socket_base::linger{reset, 0}, ignored);
}

void byte_stream::write_available()
{
    std::size_t sent = 0;
    while (open_ && !queue_.empty()) {
        const auto& front = queue_.front();
        std::error_code ec;
        const auto n =
            socket_.write_some(asio::buffer(front.data() + front_sent_, front.size() - front_sent_), ec);
        if (would_block(ec)) {
            break;
        }
        if (ec) {
            // send() is called from the owner's code, so the failure is reported from the event loop.
            queue_.clear();
            write_error_ = ec;
            asio::post(socket_.get_executor(), [this, ec, keep = shared_from_this()] { fail(ec); });
            return;
        }
        sent += n;
        unsent_ -= n;
        written_ += n;
        front_sent_ += n;
        if (front_sent_ == front.size()) {
            queue_.pop_front();
            front_sent_ = 0;
        }
    }
    if (open_ && !queue_.empty()) {
        wait_writable();
    }
    else if (open_ && finishing_) {
        if (resets_) {
            set_reset_on_close(false);
        }
        std::error_code ignored;
        socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    }
    if (sent > 0) {
        const auto keep = shared_from_this();
        on_sent(sent);
    }
    if (peer_ended_ && queue_.empty()) {
        fail({});
    }
}

void byte_stream::wait_writable()
{
    writing_ = true;
    socket_.async_wait(asio::ip::tcp::socket::wait_write,
                       [this, keep = shared_from_this()](const std::error_code& ec) {
                           writing_ = false;
                           if (ec) {
                               fail(ec);
                               return;
                           }
                           write_available();
                       });
}

} // namespace wagtailhatch
