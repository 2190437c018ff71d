#include "src/config/peer_view.h"

#include <algorithm>
#include <utility>

namespace wagtailhatch {
namespace {

// Few, so that the connections to them stay open and comparisons need no new handshakes.
constexpr std::size_t max_learned_near = 8;
constexpr std::size_t max_learned_far = 4;
// One of that many new names replaces a known one, so that no closed circles remain; each costs a connection.
constexpr std::uint64_t replacement_chance = 64;

} // namespace

peer_view::peer_view(config_peer self, std::vector<peer_address> seeds, random_source& random)
    : self_{std::move(self)}
    , seeds_{std::move(seeds)}
    , random_{random}
{
}

void peer_view::set_members(std::vector<config_peer> peers)
{
    members_.clear();
    for (auto& peer : peers) {
        if (peer.id != self_.id) {
            learned_.erase(peer.id);
            members_[peer.id] = std::move(peer);
        }
    }
}

std::size_t peer_view::learned_count(bool near_by) const
{
    return static_cast<std::size_t>(std::count_if(learned_.begin(), learned_.end(), [&](const auto& entry) {
        return (entry.second.data_centre == self_.data_centre) == near_by;
    }));
}

void peer_view::learn(const config_peer& peer, bool first_hand)
{
    if (peer.id.empty() || peer.address.empty() || peer.id == self_.id || members_.count(peer.id) != 0) {
        return;
    }
    const bool near_by = peer.data_centre == self_.data_centre;
    if (const auto found = learned_.find(peer.id); found != learned_.end()) {
        if (first_hand) {
            found->second = peer;
        }
    }
    else if (learned_count(near_by) < (near_by ? max_learned_near : max_learned_far)) {
        learned_[peer.id] = peer;
    }
    else if (random_.below(replacement_chance) == 0) {
        forget_one(near_by);
        learned_[peer.id] = peer;
    }
}

void peer_view::failed(const peer_address& address)
{
    std::erase_if(learned_, [&](const auto& entry) { return entry.second.address == address; });
}

void peer_view::forget_one(bool near_by)
{
    auto left = random_.below(learned_count(near_by));
    for (auto i = learned_.begin(); i != learned_.end(); ++i) {
        if ((i->second.data_centre == self_.data_centre) == near_by && left-- == 0) {
            learned_.erase(i);
            return;
        }
    }
}

std::vector<const config_peer*> peer_view::known(bool near_by) const
{
    std::vector<const config_peer*> all;
    for (const auto* part : {&members_, &learned_}) {
        for (const auto& [id, peer] : *part) {
            if ((peer.data_centre == self_.data_centre) == near_by) {
                all.push_back(&peer);
            }
        }
    }
    return all;
}

std::vector<peer_address> peer_view::choose(std::size_t near_count, std::size_t far_count)
{
    std::vector<peer_address> chosen;
    const auto take = [&](const std::vector<const config_peer*>& from, std::size_t count) {
        std::vector<const config_peer*> some;
        std::sample(from.begin(), from.end(), std::back_inserter(some), count, random_.engine());
        for (const auto* peer : some) {
            chosen.push_back(peer->address);
        }
    };
    take(known(true), near_count);
    // A node that is alone in its data centre asks others instead.
    take(known(false), far_count + near_count - chosen.size());
    if (chosen.empty()) {
        std::sample(seeds_.begin(), seeds_.end(), std::back_inserter(chosen), near_count + far_count,
                    random_.engine());
    }
    return chosen;
}

std::string peer_view::data_centre_of(const peer_address& address) const
{
    const auto far = known(false);
    const auto found = std::find_if(far.begin(), far.end(),
                                    [&](const config_peer* peer) { return peer->address == address; });
    return found == far.end() ? self_.data_centre : (*found)->data_centre;
}

std::vector<config_peer> peer_view::sample(const std::string& data_centre)
{
    auto all = known(data_centre == self_.data_centre);
    std::erase_if(all, [&](const config_peer* peer) { return peer->data_centre != data_centre; });
    return all.empty() ? std::vector<config_peer>{}
                       : std::vector<config_peer>{*all[random_.below(all.size())]};
}

} // namespace wagtailhatch
