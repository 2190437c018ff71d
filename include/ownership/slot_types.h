#pragma once

#include "include/core/clock.h"
#include "include/peer/peer_transport.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace wagtailhatch {

/// One life of one instance. Equal only if id and incarnation are equal.
struct node_ref {
    std::string id; ///< Empty: no node.
    std::uint64_t incarnation = 0;
    peer_address address;

    bool same(const node_ref& other) const { return id == other.id && incarnation == other.incarnation; }
    bool empty() const { return id.empty(); }
};

/// Content of the table row `slot/<dc>/<i>`. The content of an epoch never changes once written.
struct slot_row {
    std::uint32_t slots = 0; ///< Number of slots of the data centre when the row was written.
    std::uint64_t epoch = 0; ///< 0: not known.
    node_ref owner;
    node_ref partner;          ///< Empty while the owner is the only node of its data centre.
    bool history_lost = false; ///< This epoch began without the state of the one before.
};

enum class slot_role : std::uint8_t { none, partner, owner };

/// Sends requests between nodes; matches peer_transport::request.
class message_sender {
public:
    virtual ~message_sender() = default;
    virtual void request(const peer_address& to, channel c, std::string payload, duration timeout,
                         std::function<void(peer_reply)> done) = 0;
};

/// Slot of a workspace or key; the same on every node and build.
std::uint32_t slot_of(std::string_view key, std::uint32_t slots);

/// Rendezvous weight of a candidate for a name.
std::uint64_t rendezvous_weight(std::string_view name, std::string_view candidate);

} // namespace wagtailhatch
