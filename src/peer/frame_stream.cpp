#include "src/peer/frame_stream.h"

#include <asio/buffer.hpp>
#include <asio/error.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <utility>

namespace wagtailhatch {
namespace {

constexpr std::size_t max_hello_size = 256;
constexpr std::size_t initial_read_buffer = std::size_t{4} << 10;
constexpr std::size_t kept_read_buffer = std::size_t{64} << 10;
/// Frames are joined up to this size, so that small ones share a system call and large ones are not copied.
constexpr std::size_t write_batch = std::size_t{32} << 10;
/// The kernel gives up on unacknowledged data when pings would have ended the connection.
constexpr int user_timeout_ms = 3000;

error from_socket(const std::error_code& failure)
{
    if (failure == asio::error::connection_refused || failure == asio::error::host_unreachable ||
        failure == asio::error::network_unreachable) {
        return make_error(errc::unavailable, failure.message());
    }
    return make_error(errc::connection_lost, failure.message());
}

} // namespace

frame_stream::frame_stream(asio::io_context& io, asio::ssl::context& tls, asio::ip::tcp::socket socket)
    : io_{io}
    , stream_{std::move(socket), tls}
    , handshake_timer_{io}
    , read_buffer_(initial_read_buffer, '\0')
    , frame_limit_{max_hello_size}
{
}

void frame_stream::dial(const asio::ip::tcp::endpoint& to, duration timeout)
{
    start_timeout(timeout);
    stream_.lowest_layer().async_connect(to, [self = shared_from_this()](const std::error_code& failure) {
        if (self->closed_) {
            return;
        }
        if (failure) {
            self->fail(from_socket(failure));
            return;
        }
        self->handshake(asio::ssl::stream_base::client);
    });
}

void frame_stream::serve(duration timeout)
{
    start_timeout(timeout);
    handshake(asio::ssl::stream_base::server);
}

void frame_stream::start_timeout(duration timeout)
{
    handshake_timer_.expires_after(timeout);
    handshake_timer_.async_wait([weak = weak_from_this()](const std::error_code& failure) {
        const auto self = weak.lock();
        if (!failure && self) {
            self->fail(make_error(errc::timeout, "peer handshake"));
        }
    });
}

void frame_stream::configure_socket()
{
    std::error_code ignored;
    auto& socket = stream_.lowest_layer();
    socket.set_option(asio::ip::tcp::no_delay{true}, ignored);
#ifdef TCP_USER_TIMEOUT
    const int value = user_timeout_ms;
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &value, sizeof(value));
#endif
}

void frame_stream::handshake(asio::ssl::stream_base::handshake_type type)
{
    configure_socket();
    stream_.async_handshake(type, [self = shared_from_this()](const std::error_code& failure) {
        if (self->closed_) {
            return;
        }
        // A handshake that did not use the pre-shared key proves nothing.
        if (failure || SSL_session_reused(self->stream_.native_handle()) != 1) {
            self->fail(make_error(errc::not_authorized, "TLS handshake: " + failure.message()));
            return;
        }
        self->opened();
    });
}

void frame_stream::opened()
{
    queue_.push_front({on_open(), 0});
    queued_bytes_ += queue_.front().bytes.size();
    open_ = true;
    flush();
    read();
}

void frame_stream::authenticated()
{
    handshake_timer_.cancel();
    frame_limit_ = max_frame_size;
}

void frame_stream::send(std::string bytes, std::uint64_t tag)
{
    if (closed_ || finished_sending_) {
        return;
    }
    queued_bytes_ += bytes.size();
    queue_.push_back({std::move(bytes), tag});
    flush();
}

bool frame_stream::withdraw(std::uint64_t tag)
{
    const auto found =
        std::find_if(queue_.begin(), queue_.end(), [tag](const queued_frame& f) { return f.tag == tag; });
    if (found == queue_.end()) {
        return false;
    }
    queued_bytes_ -= found->bytes.size();
    queue_.erase(found);
    return true;
}

void frame_stream::fill_write_buffer()
{
    const auto take = [this] {
        queued_frame next = std::move(queue_.front());
        queue_.pop_front();
        if (next.tag != 0) {
            on_writing(next.tag);
        }
        return std::move(next.bytes);
    };
    write_buffer_ = take();
    while (!queue_.empty() && write_buffer_.size() + queue_.front().bytes.size() <= write_batch) {
        write_buffer_ += take();
    }
}

void frame_stream::flush()
{
    if (!open_ || writing_ || closed_ || queue_.empty()) {
        return;
    }
    fill_write_buffer();
    writing_ = true;
    asio::async_write(stream_, asio::buffer(write_buffer_),
                      [self = shared_from_this()](const std::error_code& failure, std::size_t) {
                          self->writing_ = false;
                          self->queued_bytes_ -= self->write_buffer_.size();
                          if (self->closed_) {
                              return;
                          }
                          if (failure) {
                              self->fail(from_socket(failure));
                              return;
                          }
                          self->flush();
                          if (self->write_idle()) {
                              self->on_write_idle();
                          }
                      });
}

void frame_stream::read()
{
    make_room();
    stream_.async_read_some(
        asio::buffer(read_buffer_.data() + read_end_, read_buffer_.size() - read_end_),
        [self = shared_from_this()](const std::error_code& failure, std::size_t received) {
            if (self->closed_) {
                return;
            }
            if (failure) {
                self->fail(from_socket(failure));
                return;
            }
            self->read_end_ += received;
            self->parse();
            if (!self->closed_) {
                self->read();
            }
        });
}

void frame_stream::parse()
{
    while (!closed_ && read_end_ - read_begin_ >= frame_prefix_size) {
        const std::string_view bytes{read_buffer_.data() + read_begin_, read_end_ - read_begin_};
        const std::size_t length = frame_length(bytes);
        if (length > frame_limit_) {
            fail(make_error(errc::too_large, "frame"));
            return;
        }
        if (bytes.size() - frame_prefix_size < length) {
            return;
        }
        auto decoded = decode_frame(bytes.substr(frame_prefix_size, length));
        read_begin_ += frame_prefix_size + length;
        if (!decoded) {
            fail(make_error(errc::malformed, "frame"));
            return;
        }
        on_frame(std::move(*decoded));
    }
}

void frame_stream::make_room()
{
    const std::size_t held = read_end_ - read_begin_;
    if (read_begin_ > 0) {
        std::memmove(read_buffer_.data(), read_buffer_.data() + read_begin_, held);
        read_begin_ = 0;
        read_end_ = held;
    }
    if (held == 0 && read_buffer_.size() > kept_read_buffer) {
        read_buffer_.resize(initial_read_buffer);
        read_buffer_.shrink_to_fit();
    }
    std::size_t needed = initial_read_buffer;
    if (held >= frame_prefix_size) {
        needed = frame_prefix_size + frame_length({read_buffer_.data(), held}); // Checked by parse().
    }
    // Grows with the bytes that arrive, so that a length alone makes nobody allocate.
    if (read_end_ == read_buffer_.size()) {
        read_buffer_.resize(std::max(initial_read_buffer, std::min(needed, 2 * read_buffer_.size())));
    }
}

void frame_stream::finish_sending()
{
    std::error_code ignored;
    finished_sending_ = true;
    stream_.lowest_layer().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

void frame_stream::fail(const error& reason)
{
    if (closed_) {
        return;
    }
    closed_ = true;
    handshake_timer_.cancel();
    std::error_code ignored;
    stream_.lowest_layer().close(ignored);
    const auto keep = shared_from_this();
    on_closed(reason);
    queue_.clear();
}

} // namespace wagtailhatch
