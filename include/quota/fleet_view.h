#pragma once

#include "include/core/clock.h"
#include "include/membership/member.h"

#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace wagtailhatch {

/// What a node knows of another node at one moment.
struct peer_presence {
    peer_address address;
    bool linked = false;
    /// Linked, but overdue, or the peer says that this node is: messages may be lost in one direction.
    bool suspect = false;
    bool refuses = false;          ///< Not linked, and nothing listens on its address.
    bool allocates = false;        ///< Linked, and it may allocate rates.
    bool leaving = false;          ///< Linked, and it is about to end.
    std::uint64_t incarnation = 0; ///< Of its process; 0 unless linked.
};

struct fleet_view_options {
    /// From the loss of a node, or from when it became known, until its rights may pass to another. Must be
    /// longer than a node goes on counting a peer that it no longer hears, because a lost node may be alive
    /// and cut off.
    duration takeover_delay = std::chrono::milliseconds{1300};
    /// A node that is back counts from this long after its return: others may have counted it meanwhile.
    duration return_delay = std::chrono::seconds{2};
    /// A lost node counts as ended once connections to it have been refused for this long.
    duration removal_delay = std::chrono::seconds{12};
    /// A node that was never linked counts from this long after it became known.
    duration join_delay = std::chrono::seconds{1};
};

/// One node's view of its fleet for the allocation of rates: which nodes may allocate, and which part of all
/// nodes it reaches. A node that is lost keeps its rights for a while, however its link ended: only a planned
/// stop or a new process on its address proves that the old one has ended. Not thread-safe.
class fleet_view {
public:
    explicit fleet_view(peer_address self);

    /// Sets whether this node itself allocates.
    void set_self(bool allocates, bool leaving);

    /// Applies the state of all known other nodes; those missing have left for good. Call several times a
    /// second and at each change.
    void update(std::span<const peer_presence> peers, const fleet_view_options& options, steady_time now);

    /// The nodes that may allocate rates, as of the last update. Nodes that leave do so only if all others
    /// do.
    std::vector<peer_address> allocators() const;

    /// Whether a node that may allocate rates is known to run: this one or one that it is linked to.
    bool allocator_known() const;

    /// The part of all nodes that this node reaches, itself included, as of the last update.
    double reachable_fraction() const;

private:
    struct peer_state {
        peer_presence now;
        std::uint64_t update = 0; ///< The last update that contained it.
        /// When the node became known, or from when it no longer counts this one: the last link has ended, or
        /// this node has missed it and says so.
        steady_time lost{};
        steady_time refused_since{};   ///< Zero unless it refuses.
        bool met = false;              ///< It has been linked.
        std::uint64_t incarnation = 0; ///< Of the process that was linked last.
        steady_time counts_from{};     ///< When its part may be allocated by this node again.
        /// It allocated when it was last linked, or has not been linked yet, and no other may so far.
        bool holds_rights = true;
        bool reached = false; ///< Its part may be allocated by this node.
        bool counted = false; ///< It is a part of the fleet, reached or not.
    };

    /// When a node that has just been reached counts.
    static steady_time count_time(const peer_state& state, const peer_presence& peer,
                                  const fleet_view_options& options, steady_time now);
    static void apply(peer_state& state, const peer_presence& peer, const fleet_view_options& options,
                      steady_time now);

    peer_address self_;
    bool self_allocates_ = false;
    bool self_leaving_ = false;
    std::map<peer_address, peer_state> peers_;
    std::uint64_t updates_ = 0;
};

} // namespace wagtailhatch
