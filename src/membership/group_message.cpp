#include "include/membership/group_message.h"

#include "src/core/wire.h"
#include "src/peer/endpoint.h"

#include <algorithm>

namespace wagtailhatch {
namespace {

constexpr std::size_t entry_size = 8;

void write_member(wire_writer& writer, const member& m)
{
    writer.text(m.id);
    writer.text(m.data_centre);
    writer.text(m.address);
    writer.number(m.incarnation);
    writer.number(m.refutation);
    writer.number(static_cast<std::uint8_t>(m.state));
}

std::optional<member> read_member(wire_reader& reader, const std::string& service)
{
    member m;
    m.service = service;
    m.id = reader.text();
    m.data_centre = reader.text();
    m.address = reader.text();
    m.incarnation = reader.number<std::uint64_t>();
    m.refutation = reader.number<std::uint32_t>();
    const auto state = reader.number<std::uint8_t>();
    const bool valid = reader.ok() && !m.id.empty() && m.id.size() <= max_member_text &&
                       m.data_centre.size() <= max_member_text && state < member_state_names.size() &&
                       parse_peer_address(m.address);
    if (!valid) {
        return std::nullopt;
    }
    m.state = static_cast<member_state>(state);
    return m;
}

std::size_t fixed_size(const group_message& m)
{
    constexpr std::size_t numbers = 32; // Everything of fixed size, rounded up.
    return numbers + m.service.size() + m.target.size() + (m.self ? encoded_size(*m.self) : 0);
}

bool read_parts(wire_reader& reader, group_message& m)
{
    if (reader.number<std::uint8_t>() != 0) {
        m.self = read_member(reader, m.service);
        if (!m.self) {
            return false;
        }
    }
    m.target = reader.text();
    m.table_digest = reader.number<std::uint64_t>();
    m.table_size = reader.number<std::uint16_t>();
    m.detailed = reader.number<std::uint8_t>() != 0;
    m.bucket = reader.number<std::uint16_t>();
    m.buckets = reader.number<std::uint16_t>();
    const auto entries = reader.number<std::uint8_t>();
    for (std::size_t i = 0; i < entries && reader.ok(); ++i) {
        const auto id = reader.number<std::uint32_t>();
        m.entries.push_back({id, reader.number<std::uint32_t>()});
    }
    const auto updates = reader.number<std::uint8_t>();
    for (std::size_t i = 0; i < updates && reader.ok(); ++i) {
        auto update = read_member(reader, m.service);
        if (!update) {
            return false;
        }
        m.updates.push_back(std::move(*update));
    }
    return m.type != group_message::kind::ping_request || parse_peer_address(m.target);
}

} // namespace

std::size_t encoded_size(const member& m)
{
    return 3 + m.id.size() + m.data_centre.size() + m.address.size() + 13;
}

std::size_t room_for_updates(const group_message& m)
{
    std::size_t used = fixed_size(m) + m.entries.size() * entry_size;
    for (const auto& update : m.updates) {
        used += encoded_size(update);
    }
    return max_group_message - std::min(max_group_message, used);
}

std::string encode_group_message(const group_message& m)
{
    std::size_t room = max_group_message - std::min(max_group_message, fixed_size(m));
    const auto entries = std::min({m.entries.size(), room / entry_size, std::size_t{255}});
    room -= entries * entry_size;
    std::size_t updates = 0;
    while (updates < std::min<std::size_t>(m.updates.size(), 255) &&
           encoded_size(m.updates[updates]) <= room) {
        room -= encoded_size(m.updates[updates]);
        ++updates;
    }
    wire_writer writer;
    writer.number(static_cast<std::uint8_t>(m.type));
    writer.text(m.service);
    writer.number(m.sequence);
    writer.number(static_cast<std::uint8_t>(m.self ? 1 : 0));
    if (m.self) {
        write_member(writer, *m.self);
    }
    writer.text(m.target);
    writer.number(m.table_digest);
    writer.number(m.table_size);
    writer.number(static_cast<std::uint8_t>(m.detailed ? 1 : 0));
    writer.number(m.bucket);
    writer.number(m.buckets);
    writer.number(static_cast<std::uint8_t>(entries));
    for (std::size_t i = 0; i < entries; ++i) {
        writer.number(m.entries[i].id);
        writer.number(m.entries[i].version);
    }
    writer.number(static_cast<std::uint8_t>(updates));
    for (std::size_t i = 0; i < updates; ++i) {
        write_member(writer, m.updates[i]);
    }
    return writer.take();
}

std::optional<group_message> decode_group_message(std::string_view bytes)
{
    if (bytes.size() > max_group_message) {
        return std::nullopt;
    }
    wire_reader reader{bytes};
    group_message m;
    const auto type = reader.number<std::uint8_t>();
    m.service = reader.text();
    m.sequence = reader.number<std::uint32_t>();
    const bool valid = reader.ok() && type <= static_cast<std::uint8_t>(group_message::kind::answer) &&
                       !m.service.empty() && m.service.size() <= max_member_text;
    if (!valid) {
        return std::nullopt;
    }
    m.type = static_cast<group_message::kind>(type);
    if (!read_parts(reader, m) || !reader.complete()) {
        return std::nullopt;
    }
    return m;
}

} // namespace wagtailhatch
