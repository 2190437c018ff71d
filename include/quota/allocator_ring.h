#pragma once

#include "include/membership/member.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace wagtailhatch {

/// Consistent-hash ring that assigns each workspace to the node that allocates its rate. Nodes that know the
/// same set of nodes agree on every assignment, and a node that joins or leaves moves only its own part.
class allocator_ring {
public:
    void set_nodes(std::span<const peer_address> nodes);

    /// The node that allocates the workspace's rate; empty if there are no nodes.
    peer_address owner(std::string_view workspace) const;

private:
    struct point {
        std::uint64_t hash = 0;
        std::uint32_t node = 0; ///< Index in nodes_.
    };

    std::vector<peer_address> nodes_;
    std::vector<point> points_; ///< Sorted by hash.
};

} // namespace wagtailhatch
