#include "src/peer/peer_link.h"

#include "include/observe/logging.h"
#include "src/core/wire.h"
#include "src/http1/socket_options.h"

#include <asio/error.hpp>

#include <algorithm>
#include <utility>

namespace wagtailhatch {
namespace {

using namespace std::chrono_literals;

// Frame header: payload length, type and stream id.
constexpr std::size_t header_size = sizeof(std::uint32_t) + sizeof(std::uint8_t) + sizeof(std::uint64_t);
// Bytes. A call frame carries a complete request body.
constexpr std::size_t max_frame_size = std::size_t{80} << 20;
// Larger payloads are written apart from their header: a second write costs less than a copy.
constexpr std::size_t max_joined_payload = std::size_t{16} << 10;
constexpr auto link_silence_timeout = 1500ms;

struct frame_header {
    std::uint32_t size = 0; ///< Payload size in bytes.
    std::uint8_t type = 0;
    stream_id stream = 0;
};

frame_header read_header(std::string_view bytes)
{
    wire_reader r{bytes.substr(0, header_size)};
    frame_header h;
    h.size = r.u32();
    h.type = r.u8();
    h.stream = r.u64();
    return h;
}

std::string write_header(frame_type type, stream_id stream, std::size_t payload_size)
{
    wire_writer w;
    w.u32(static_cast<std::uint32_t>(payload_size)).u8(static_cast<std::uint8_t>(type)).u64(stream);
    return w.take();
}

} // namespace

void log_unstarted(const unstarted_call& unstarted)
{
    log(log_level::info, "work cancelled", {{"id", unstarted.call.id}, {"begun", false}});
}

peer_link::peer_link(asio::ip::tcp::socket socket, peer_link_owner& owner, const clock& time, bool dialled)
    : byte_stream{std::move(socket)}
    , owner_{owner}
    , time_{time}
    , last_stream_{dialled ? 0U : 1U}
    , last_received_{time.now()}
    , started_{time.now()}
    , dialled_{dialled}
{
}

void peer_link::start()
{
    configure_socket(socket(), link_silence_timeout);
    last_received_ = time_.now();
    start_reading();
}

void peer_link::connect(const asio::ip::tcp::endpoint& to)
{
    socket().async_connect(to, [this, keep = shared_from_this()](const std::error_code& ec) {
        if (ended_) {
            return;
        }
        if (ec) {
            refused = ec == asio::error::connection_refused;
            end();
            return;
        }
        start();
        owner_.on_link_open(*this);
    });
}

void peer_link::send_frame(frame_type type, stream_id stream, std::string_view payload)
{
    if (!is_open()) {
        return;
    }
    auto bytes = write_header(type, stream, payload.size());
    bytes += payload;
    send(std::move(bytes));
}

void peer_link::send_large_frame(frame_type type, stream_id stream, std::string payload)
{
    if (payload.size() <= max_joined_payload) {
        send_frame(type, stream, payload);
        return;
    }
    send(write_header(type, stream, payload.size()));
    send(std::move(payload));
}

void peer_link::end()
{
    if (std::exchange(ended_, true)) {
        return;
    }
    const auto keep = shared_from_this();
    close();
    owner_.on_link_end(*this);
}

void peer_link::on_closed(const std::error_code&)
{
    end();
}

bool peer_link::reserve_for_frame(frame_type type, std::size_t size)
{
    if (type != frame_type::call || size <= body_budgets::max_small_body || frame_memory_) {
        return true;
    }
    memory_reservation memory{owner_.body_memory().large};
    if (!memory.grow(size * body_budgets::copies)) {
        return false;
    }
    frame_memory_ = std::move(memory);
    return true;
}

void peer_link::skip(std::string_view& bytes)
{
    const auto skipped = std::min(to_skip_, bytes.size());
    to_skip_ -= skipped;
    bytes.remove_prefix(skipped);
}

void peer_link::on_bytes(std::string_view bytes)
{
    last_received_ = time_.now();
    std::string joined;
    if (!partial_.empty()) {
        partial_ += bytes;
        if (partial_.size() < needed_) {
            return;
        }
        joined = std::exchange(partial_, {});
        bytes = joined;
    }
    skip(bytes);
    while (is_open() && bytes.size() >= header_size) {
        const auto header = read_header(bytes);
        if (header.size > max_frame_size) {
            log(log_level::warning, "peer frame too large", {{"peer", peer}, {"bytes", header.size}});
            end();
            return;
        }
        needed_ = header_size + header.size;
        if (!reserve_for_frame(static_cast<frame_type>(header.type), header.size)) {
            to_skip_ = needed_;
            skip(bytes);
            owner_.on_call_skipped(*this, header.stream);
            continue;
        }
        if (bytes.size() < needed_) {
            break;
        }
        owner_.on_frame(*this, static_cast<frame_type>(header.type), header.stream,
                        bytes.substr(header_size, header.size));
        frame_memory_.reset();
        bytes.remove_prefix(header_size + header.size);
    }
    if (is_open()) {
        needed_ = bytes.size() < header_size ? header_size : needed_;
        // Growing step by step would take up to twice the size of a large frame.
        partial_.reserve(needed_);
        partial_.assign(bytes);
    }
}

} // namespace wagtailhatch
