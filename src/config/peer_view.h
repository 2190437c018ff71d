#pragma once

#include "include/config/config_sync.h"
#include "include/core/random_source.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace wagtailhatch {

/// The nodes that this node can compare configurations with: those that membership names, and a few learned
/// from the comparisons themselves, which connect services that do not call each other.
class peer_view {
public:
    peer_view(config_peer self, std::vector<peer_address> seeds, random_source& random);

    void set_members(std::vector<config_peer> peers);

    /// first_hand: the peer named itself, so that its address replaces the one known.
    void learn(const config_peer& peer, bool first_hand);

    /// A request to the address failed.
    void failed(const peer_address& address);

    /// Up to near_count random nodes of the own data centre and far_count of others; seeds while none is
    /// known.
    std::vector<peer_address> choose(std::size_t near_count, std::size_t far_count);

    /// Data centre of the node with that address; the own one if unknown.
    std::string data_centre_of(const peer_address& address) const;

    /// One random known node of a data centre.
    std::vector<config_peer> sample(const std::string& data_centre);

private:
    std::vector<const config_peer*> known(bool near_by) const;
    std::size_t learned_count(bool near_by) const;
    void forget_one(bool near_by);

    config_peer self_;
    std::vector<peer_address> seeds_;
    random_source& random_;
    std::map<std::string, config_peer> members_;
    std::map<std::string, config_peer> learned_;
};

} // namespace wagtailhatch
