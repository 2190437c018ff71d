#pragma once

#include "include/core/clock.h"
#include "include/membership/member.h"

#include <map>
#include <vector>

namespace wagtailhatch {

struct store_reader_election_options {
    /// A peer that has not confirmed for this long that the store answers it no longer counts as a reader.
    /// The bound of a configuration change leaves the rest of its time for the read that follows.
    duration contact_timeout = std::chrono::milliseconds{1300};
    /// A node keeps reading for this long after it is no longer elected, so that a quickly changing election
    /// causes no extra store calls.
    duration grace_period = std::chrono::seconds{2};
};

/// Decides whether this node follows the store on behalf of its data centre. A peer counts as a reader only
/// as long as it keeps confirming its contact with the store: its open link or an earlier claim proves
/// nothing, because a reader may be cut off from the store, or its call may hang. Not thread-safe.
class store_reader_election {
public:
    explicit store_reader_election(peer_address self, store_reader_election_options options = {});

    /// Records whether a peer of this data centre reports that it follows the store and reaches it.
    void on_peer_status(const peer_address& peer, bool reads_store, steady_time now);

    /// Records that the store has just answered a peer of this data centre.
    void on_store_contact(const peer_address& peer, steady_time now);

    /// Records that the store has just answered this node.
    void on_own_contact(steady_time now) { own_contact_ = now; }

    /// Removes a peer whose link was lost.
    void forget(const peer_address& peer) { readers_.erase(peer); }

    /// Returns whether this node should follow the store now. Call several times per second. eligible: false
    /// if this node must not be elected, for example because it is shutting down.
    bool update(bool eligible, steady_time now);

    /// Result of the last update(); true before the first one.
    bool reads() const { return reads_; }

    /// Returns whether this node may tell its peers that it follows the store and reaches it.
    bool reads_with_contact(steady_time now) const;

private:
    std::vector<peer_address> reading_peers(steady_time now) const;

    peer_address self_;
    store_reader_election_options options_;
    std::map<peer_address, steady_time> readers_; ///< Last confirmed store contact of each reading peer.
    steady_time elected_at_{};                    ///< Last time this node was elected.
    steady_time own_contact_{};                   ///< Last answer of the store to this node.
    bool reads_ = true;
};

} // namespace wagtailhatch
