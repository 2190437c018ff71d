#pragma once

#include "include/core/clock.h"
#include "include/membership/member.h"

#include <cstddef>
#include <vector>

namespace wagtailhatch {

/// How much a node knows of its fleet.
struct fleet_knowledge {
    bool configured = false;  ///< It has a configuration.
    bool complete = false;    ///< The store or a node that allocates has told which nodes there are.
    std::size_t contacts = 0; ///< Other nodes that it knows.
    std::size_t links = 0;    ///< Those that it has a link to.
    duration age{};           ///< Time since it started.
};

/// Whether a node may allocate rates. One that knows few others would take itself for the allocator of
/// workspaces whose allocator is alive; one that knows of no others may only not have heard of them yet.
bool may_allocate_rates(const fleet_knowledge& known);

/// The nodes that may allocate rates. Nodes that leave do so only if all others do, so that a fleet that
/// stops as a whole serves on.
class allocator_candidates {
public:
    void add(const peer_address& node, bool leaving) { (leaving ? leaving_ : staying_).push_back(node); }
    const std::vector<peer_address>& nodes() const { return staying_.empty() ? leaving_ : staying_; }

private:
    std::vector<peer_address> staying_;
    std::vector<peer_address> leaving_;
};

} // namespace wagtailhatch
