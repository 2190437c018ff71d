#include "src/peer/frame.h"

#include "src/core/wire.h"

#include <cassert>

namespace wagtailhatch {

std::string encode_frame(frame_type type, std::uint8_t code, std::uint64_t id, std::string_view payload)
{
    assert(payload.size() <= max_frame_payload);
    wire_writer writer{std::string_view{"\0\0\0\0", frame_prefix_size}};
    writer.number(static_cast<std::uint8_t>(type));
    writer.number(code);
    writer.number(id);
    writer.tail(payload);
    std::string bytes = writer.take();
    const auto length = static_cast<std::uint32_t>(bytes.size() - frame_prefix_size);
    for (std::size_t i = 0; i < frame_prefix_size; ++i) {
        bytes[i] = static_cast<char>((length >> (8 * (frame_prefix_size - 1 - i))) & 0xFF);
    }
    return bytes;
}

std::optional<frame> decode_frame(std::string_view bytes)
{
    wire_reader reader{bytes};
    const auto type = reader.number<std::uint8_t>();
    frame f;
    f.code = reader.number<std::uint8_t>();
    f.id = reader.number<std::uint64_t>();
    f.payload = reader.tail();
    if (!reader.complete() || type > static_cast<std::uint8_t>(frame_type::go_away)) {
        return std::nullopt;
    }
    f.type = static_cast<frame_type>(type);
    return f;
}

std::size_t frame_length(std::string_view prefix)
{
    std::size_t length = 0;
    for (std::size_t i = 0; i < frame_prefix_size; ++i) {
        length = (length << 8) | static_cast<unsigned char>(prefix[i]);
    }
    return length;
}

} // namespace wagtailhatch
