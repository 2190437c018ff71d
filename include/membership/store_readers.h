#pragma once

#include "include/membership/member.h"

#include <cstddef>
#include <vector>

namespace wagtailhatch {

/// Number of nodes per data centre that follow the store on behalf of the others.
constexpr std::size_t store_readers_per_data_centre = 2;

/// Returns whether `self` should follow the store. Only a few nodes of each data centre do, and the others
/// learn of changes from them, so that store calls grow with the number of data centres and not of nodes. The
/// readers are the nodes with the lowest address hashes; a node that has lost the store no longer counts, and
/// the next one replaces it. reading_peers: other nodes of the data centre that currently follow the store
/// and reach it.
bool should_read_store(const peer_address& self, const std::vector<peer_address>& reading_peers);

} // namespace wagtailhatch
