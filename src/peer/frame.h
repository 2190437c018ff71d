#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wagtailhatch {

enum class frame_type : std::uint8_t {
    hello,   ///< First frame in each direction: id is the process's random number, payload its address.
    request, ///< code is the channel.
    answer,
    failure, ///< The request was not answered; code is an errc.
    cancel,
    ping,
    pong,
    go_away, ///< The sender starts no more requests on this connection.
};

/// Unit of the peer TCP protocol, sent after a 4-byte big-endian length.
struct frame {
    frame_type type = frame_type::ping;
    std::uint8_t code = 0;
    std::uint64_t id = 0;
    std::string payload;
};

constexpr std::size_t frame_prefix_size = 4;
constexpr std::size_t max_frame_size = std::size_t{16} << 20;
constexpr std::size_t frame_overhead = 10; ///< Type, code and id.
constexpr std::size_t max_frame_payload = max_frame_size - frame_overhead;

/// Length prefix and frame. Requires payload of at most max_frame_payload bytes.
std::string encode_frame(frame_type type, std::uint8_t code, std::uint64_t id, std::string_view payload = {});

/// Reads a frame without its length prefix; nothing if it is malformed.
std::optional<frame> decode_frame(std::string_view bytes);

/// Reads a length prefix. Requires at least frame_prefix_size bytes.
std::size_t frame_length(std::string_view prefix);

} // namespace wagtailhatch
