#include "include/quota/allocator_candidates.h"
#include "include/quota/allocator_ring.h"

#include <catch2/catch.hpp>

#include <map>
#include <string>

using namespace wagtailhatch;
using namespace std::chrono_literals;

// Guards against a node that has just started and allocates every rate beside the real allocators, and
// against a fleet in which nobody does.
TEST_CASE("a node allocates rates once it is linked to most nodes, or after a while")
{
    CHECK_FALSE(may_allocate_rates({false, true, 0, 0, 1h}));
    CHECK_FALSE(may_allocate_rates({true, true, 0, 0, 100ms}));
    CHECK(may_allocate_rates({true, true, 0, 0, 300ms}));
    CHECK_FALSE(may_allocate_rates({true, true, 10, 7, 2s}));
    CHECK(may_allocate_rates({true, true, 10, 8, 300ms}));
    CHECK(may_allocate_rates({true, true, 10, 0, 3s}));
}

// All nodes restart beside a slow store. Guards against each of them allocating every rate alone because it
// knows of no other node yet (QUOTA).
TEST_CASE("a node that has not been told of its fleet allocates no rates, however long that takes")
{
    CHECK_FALSE(may_allocate_rates({true, false, 0, 0, 300ms}));
    CHECK_FALSE(may_allocate_rates({true, false, 0, 0, 1h}));
    CHECK_FALSE(may_allocate_rates({true, false, 3, 3, 1h}));
}

// Guards against rates that nobody allocates while the whole fleet stops.
TEST_CASE("nodes that leave allocate rates only if no other node does")
{
    allocator_candidates candidates;
    candidates.add("a", true);
    CHECK(candidates.nodes() == std::vector<peer_address>{"a"});
    candidates.add("b", false);
    CHECK(candidates.nodes() == std::vector<peer_address>{"b"});
}

// Guards against assignments that depend on the order in which nodes are learned of, move without need, or
// fall on few nodes.
TEST_CASE("the ring spreads workspaces evenly and moves only those of a node that goes")
{
    constexpr int node_count = 20;
    constexpr int workspace_count = 2000;
    std::vector<peer_address> nodes;
    nodes.reserve(node_count);
    for (int i = 0; i < node_count; ++i) {
        nodes.push_back("10.0.0." + std::to_string(i) + ":1");
    }
    allocator_ring ring;
    CHECK(ring.owner("w").empty());
    ring.set_nodes(nodes);
    allocator_ring reversed;
    reversed.set_nodes(std::vector<peer_address>{nodes.rbegin(), nodes.rend()});
    allocator_ring smaller;
    smaller.set_nodes(std::vector<peer_address>{nodes.begin() + 1, nodes.end()});
    std::map<peer_address, int> owned;
    for (int i = 0; i < workspace_count; ++i) {
        const auto workspace = "w" + std::to_string(i);
        const auto owner = ring.owner(workspace);
        ++owned[owner];
        CHECK(reversed.owner(workspace) == owner);
        if (owner != nodes.front()) {
            CHECK(smaller.owner(workspace) == owner);
        }
    }
    for (const auto& [node, count] : owned) {
        CHECK(count < workspace_count / node_count * 4);
    }
}
