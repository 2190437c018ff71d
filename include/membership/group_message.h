#pragma once

#include "include/membership/member_table.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailhatch {

constexpr std::size_t max_group_message = 1200; ///< Bytes.
constexpr std::size_t max_member_text = 64;     ///< Bytes of an id, a service or a data centre.

/// A message about one group, between its members or from a follower.
struct group_message {
    enum class kind : std::uint8_t {
        ping,
        ack,
        ping_request, ///< Asks to ping target and to pass on its ack.
        digest,       ///< Compares tables; with details, asks for differences.
        answer,       ///< To a digest.
    };

    kind type = kind::ping;
    std::string service;
    std::uint32_t sequence = 0; ///< An ack or answer repeats that of the question.
    std::optional<member> self; ///< Record of the sender, if it is a member of the service.
    peer_address target;        ///< Of ping_request.
    std::uint64_t table_digest = 0;
    std::uint16_t table_size = 0; ///< Members that are not dead or left.
    bool detailed = false;        ///< entries cover the bucket.
    std::uint16_t bucket = 0;
    std::uint16_t buckets = 1;
    std::vector<digest_entry> entries;
    std::vector<member> updates; ///< Most important first; those that do not fit are left out.
};

/// At most max_group_message bytes.
std::string encode_group_message(const group_message& m);

/// Reads a message from a peer; nothing if any part is malformed.
std::optional<group_message> decode_group_message(std::string_view bytes);

/// Bytes that the record takes in a message.
std::size_t encoded_size(const member& m);

/// Bytes that are left for more updates.
std::size_t room_for_updates(const group_message& m);

/// Where message senders hand over their messages.
class group_sender {
public:
    virtual ~group_sender() = default;
    virtual void send(const peer_address& to, const group_message& m) = 0;
};

} // namespace wagtailhatch
