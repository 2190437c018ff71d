#include "include/membership/member_table.h"

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <string_view>
#include <tuple>
#include <unordered_map>

namespace wagtailhatch {
namespace {

/// Longer than any expected partition between regions, so that a stale node cannot bring back a member that
/// left while it was cut off.
constexpr std::chrono::hours final_memory{24};
constexpr std::size_t max_final = 512;
/// Bounds memory against a faulty peer; 13,000 nodes in 1,000 services give groups of a few hundred at most.
constexpr std::size_t max_members = 4096;

std::uint64_t hash(const std::string& text)
{
    return XXH3_64bits(text.data(), text.size());
}

std::uint64_t version_hash(const member& m)
{
    const std::string text = m.id + '\n' + m.address + '\n' + std::to_string(m.incarnation) + '\n' +
                             std::to_string(m.refutation) + '\n' + std::string{to_string(m.state)};
    return hash(text);
}

int finality(member_state s)
{
    if (s == member_state::left) {
        return 2;
    }
    return s == member_state::dead ? 1 : 0;
}

auto rank(const member& m)
{
    return std::tuple<std::uint64_t, int, std::uint32_t, bool, member_state, std::string_view>{
        m.incarnation, finality(m.state), m.refutation, m.state == member_state::suspect, m.state, m.address};
}

digest_entry short_form(const member& m)
{
    return {static_cast<std::uint32_t>(hash(m.id)), static_cast<std::uint32_t>(version_hash(m))};
}

bool in_bucket(std::uint32_t id, std::size_t bucket, std::size_t buckets)
{
    return buckets <= 1 || id % buckets == bucket;
}

} // namespace

bool supersedes(const member& a, const member& b)
{
    return rank(a) > rank(b);
}

void member_table::count(const member& m, bool added)
{
    if (is_final(m.state)) {
        return;
    }
    digest_ ^= version_hash(m);
    live_count_ = added ? live_count_ + 1 : live_count_ - 1;
}

bool member_table::merge(const member& m, steady_time now)
{
    const auto found = records_.find(m.id);
    if (found == records_.end()) {
        if (records_.size() >= max_members) {
            return false;
        }
        ++changes_;
        records_.emplace(m.id, record{m, now});
        count(m, true);
        return true;
    }
    if (!supersedes(m, found->second.value)) {
        return false;
    }
    ++changes_;
    count(found->second.value, false);
    found->second = {m, now};
    count(m, true);
    return true;
}

void member_table::erase(const std::string& id)
{
    const auto found = records_.find(id);
    if (found != records_.end()) {
        ++changes_;
        count(found->second.value, false);
        records_.erase(found);
    }
}

void member_table::expire(steady_time now)
{
    std::erase_if(records_, [now](const auto& entry) {
        return is_final(entry.second.value.state) && now - entry.second.changed > final_memory;
    });
    while (records_.size() - live_count_ > max_final) {
        auto oldest = records_.end();
        for (auto it = records_.begin(); it != records_.end(); ++it) {
            const bool older = oldest == records_.end() || it->second.changed < oldest->second.changed;
            if (is_final(it->second.value.state) && older) {
                oldest = it;
            }
        }
        records_.erase(oldest);
    }
}

const member* member_table::find(const std::string& id) const
{
    const auto found = records_.find(id);
    return found == records_.end() ? nullptr : &found->second.value;
}

const member* member_table::find_live(const peer_address& address) const
{
    for (const auto& [id, r] : records_) {
        if (r.value.address == address && !is_final(r.value.state)) {
            return &r.value;
        }
    }
    return nullptr;
}

bool member_table::knows(const peer_address& address) const
{
    return std::any_of(records_.begin(), records_.end(),
                       [&](const auto& entry) { return entry.second.value.address == address; });
}

std::vector<member> member_table::all() const
{
    std::vector<member> members;
    members.reserve(records_.size());
    for (const auto& [id, r] : records_) {
        members.push_back(r.value);
    }
    return members;
}

std::vector<const member*> member_table::live() const
{
    std::vector<const member*> members;
    members.reserve(live_count_);
    for (const auto& [id, r] : records_) {
        if (!is_final(r.value.state)) {
            members.push_back(&r.value);
        }
    }
    return members;
}

std::vector<const member*> member_table::dead() const
{
    std::vector<const member*> members;
    for (const auto& [id, r] : records_) {
        if (r.value.state == member_state::dead) {
            members.push_back(&r.value);
        }
    }
    return members;
}

std::vector<digest_entry> member_table::entries(std::size_t bucket, std::size_t buckets) const
{
    std::vector<digest_entry> found;
    for (const auto* m : live()) {
        const auto entry = short_form(*m);
        if (in_bucket(entry.id, bucket, buckets)) {
            found.push_back(entry);
        }
    }
    return found;
}

std::vector<member> member_table::differences(const std::vector<digest_entry>& other, std::size_t bucket,
                                              std::size_t buckets) const
{
    std::unordered_map<std::uint32_t, std::uint32_t> known;
    for (const auto& entry : other) {
        known[entry.id] = entry.version;
    }
    std::vector<member> found;
    for (const auto& [id, r] : records_) {
        const auto entry = short_form(r.value);
        const auto theirs = known.find(entry.id);
        // Members that ended matter only to those who still take them for live.
        const bool lacking =
            theirs == known.end() ? !is_final(r.value.state) : theirs->second != entry.version;
        if (lacking && in_bucket(entry.id, bucket, buckets)) {
            found.push_back(r.value);
        }
    }
    return found;
}

} // namespace wagtailhatch
