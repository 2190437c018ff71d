#pragma once

#include "include/peer/peer_transport.h"
#include "src/peer/proof.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wagtailhatch {

/// Contents of an authenticated datagram.
struct datagram {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    peer_address from;
    std::string payload;
};

/// The proof covers the receiver's address, so that a datagram cannot be replayed to another node.
std::string encode_datagram(const datagram& d, const peer_address& to, const proof& key);

/// Checks the proof, then reads; nothing if either fails.
std::optional<datagram> decode_datagram(std::string_view bytes, const peer_address& to, const proof& key);

} // namespace wagtailhatch
