#include "include/quota/allocator_ring.h"

#include <xxhash.h>

#include <algorithm>

namespace wagtailhatch {
namespace {

// Points per node even out the parts of the ring.
constexpr std::uint64_t points_per_node = 4;

std::uint64_t hash_of(std::string_view text, std::uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

} // namespace

void allocator_ring::set_nodes(std::span<const peer_address> nodes)
{
    nodes_.assign(nodes.begin(), nodes.end());
    points_.clear();
    points_.reserve(nodes_.size() * points_per_node);
    for (std::uint32_t i = 0; i < nodes_.size(); ++i) {
        for (std::uint64_t seed = 0; seed < points_per_node; ++seed) {
            points_.push_back({hash_of(nodes_[i], seed), i});
        }
    }
    std::sort(points_.begin(), points_.end(), [&](const point& a, const point& b) {
        return a.hash != b.hash ? a.hash < b.hash : nodes_[a.node] < nodes_[b.node];
    });
}

peer_address allocator_ring::owner(std::string_view workspace) const
{
    if (points_.empty()) {
        return {};
    }
    const auto found = std::lower_bound(points_.begin(), points_.end(), hash_of(workspace, points_per_node),
                                        [](const point& p, std::uint64_t hash) { return p.hash < hash; });
    return nodes_[(found == points_.end() ? points_.front() : *found).node];
}

} // namespace wagtailhatch
