#include "include/membership/store_readers.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace wagtailhatch {
namespace {

std::pair<std::uint64_t, peer_address> rank_of(const peer_address& address)
{
    return {XXH64(address.data(), address.size(), 0), address};
}

} // namespace

bool should_read_store(const peer_address& self, const std::vector<peer_address>& reading_peers)
{
    const auto own = rank_of(self);
    const auto before = std::count_if(reading_peers.begin(), reading_peers.end(),
                                      [&](const peer_address& peer) { return rank_of(peer) < own; });
    return static_cast<std::size_t>(before) < store_readers_per_data_centre;
}

} // namespace wagtailhatch
