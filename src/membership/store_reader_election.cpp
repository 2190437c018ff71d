#include "include/membership/store_reader_election.h"

#include "include/membership/store_readers.h"

#include <utility>

namespace wagtailhatch {

store_reader_election::store_reader_election(peer_address self, store_reader_election_options options)
    : self_{std::move(self)}
    , options_{options}
{
}

void store_reader_election::on_peer_status(const peer_address& peer, bool reads_store, steady_time now)
{
    if (!reads_store) {
        readers_.erase(peer);
        return;
    }
    // A repeated claim is no news of the store; only on_store_contact() renews it.
    readers_.try_emplace(peer, now);
}

void store_reader_election::on_store_contact(const peer_address& peer, steady_time now)
{
    readers_[peer] = now;
}

bool store_reader_election::update(bool eligible, steady_time now)
{
    const bool elected = eligible && should_read_store(self_, reading_peers(now));
    if (elected) {
        elected_at_ = now;
    }
    reads_ = elected || (reads_ && now - elected_at_ < options_.grace_period);
    return reads_;
}

bool store_reader_election::reads_with_contact(steady_time now) const
{
    return reads_ && own_contact_ != steady_time{} && now - own_contact_ <= options_.contact_timeout;
}

std::vector<peer_address> store_reader_election::reading_peers(steady_time now) const
{
    std::vector<peer_address> out;
    for (const auto& [peer, contact] : readers_) {
        if (now - contact <= options_.contact_timeout) {
            out.push_back(peer);
        }
    }
    return out;
}

} // namespace wagtailhatch
