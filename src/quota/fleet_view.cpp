#include "include/quota/fleet_view.h"

#include "include/quota/allocator_candidates.h"

#include <algorithm>
#include <utility>

namespace wagtailhatch {

fleet_view::fleet_view(peer_address self)
    : self_{std::move(self)}
{
}

void fleet_view::set_self(bool allocates, bool leaving)
{
    self_allocates_ = allocates;
    self_leaving_ = leaving;
}

void fleet_view::update(std::span<const peer_presence> peers, const fleet_view_options& options,
                        steady_time now)
{
    ++updates_;
    for (const auto& peer : peers) {
        const auto [found, added] = peers_.try_emplace(peer.address);
        if (added) {
            found->second.lost = now;
        }
        found->second.update = updates_;
        apply(found->second, peer, options, now);
    }
    std::erase_if(peers_, [&](const auto& entry) { return entry.second.update != updates_; });
}

steady_time fleet_view::count_time(const peer_state& state, const peer_presence& peer,
                                   const fleet_view_options& options, steady_time now)
{
    const bool new_process = peer.incarnation != state.incarnation;
    // Nobody else counts a new process, nor one that has missed this node too briefly to turn to another.
    const bool unclaimed = new_process || now - state.lost < options.takeover_delay / 2;
    return unclaimed ? now : now + options.return_delay;
}

void fleet_view::apply(peer_state& state, const peer_presence& peer, const fleet_view_options& options,
                       steady_time now)
{
    const bool reached = peer.linked && !peer.suspect;
    const bool was_reached = state.now.linked && !state.now.suspect;
    if (was_reached && !reached) {
        state.lost = now;
    }
    if (reached && !was_reached) {
        state.counts_from = count_time(state, peer, options, now);
        state.incarnation = peer.incarnation;
    }
    if (!peer.refuses) {
        state.refused_since = {};
    }
    else if (state.refused_since == steady_time{}) {
        state.refused_since = now;
    }
    // A linked process tells itself whether it allocates: a new one on the address does not yet.
    state.holds_rights =
        peer.linked ? peer.allocates : state.holds_rights && now - state.lost < options.takeover_delay;
    state.reached = reached && now >= state.counts_from;
    state.met = state.met || peer.linked;
    const bool joined = state.met || now - state.lost >= options.join_delay;
    const bool ended = peer.refuses && now - state.refused_since >= options.removal_delay;
    state.counted = joined && !ended;
    const bool was_leaving = state.now.leaving;
    state.now = peer;
    state.now.leaving = peer.linked ? peer.leaving : was_leaving;
}

std::vector<peer_address> fleet_view::allocators() const
{
    allocator_candidates candidates;
    if (self_allocates_) {
        candidates.add(self_, self_leaving_);
    }
    for (const auto& [address, state] : peers_) {
        if (state.holds_rights) {
            candidates.add(address, state.now.leaving);
        }
    }
    return candidates.nodes();
}

bool fleet_view::allocator_known() const
{
    return self_allocates_ || std::any_of(peers_.begin(), peers_.end(),
                                          [](const auto& entry) { return entry.second.now.allocates; });
}

double fleet_view::reachable_fraction() const
{
    double reached = 1;
    double all = 1;
    for (const auto& [address, state] : peers_) {
        reached += state.reached ? 1 : 0;
        all += state.reached || state.counted ? 1 : 0;
    }
    return reached / all;
}

} // namespace wagtailhatch
