#pragma once

#include "include/core/clock.h"
#include "include/membership/member.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace wagtailhatch {

/// True for states that never change under the same incarnation.
constexpr bool is_final(member_state s)
{
    return s == member_state::dead || s == member_state::left;
}

/// Whether record a replaces record b of the same instance. A total order but for equal records: higher
/// incarnation, then left over dead over all else, then higher refutation, then suspicion. Records merged in
/// any order therefore give the same result.
bool supersedes(const member& a, const member& b);

/// Short forms of an instance id and of its record, to compare tables.
struct digest_entry {
    std::uint32_t id = 0;
    std::uint32_t version = 0;
};

/// What one node knows of the members of one service.
class member_table {
public:
    /// Merges a record; true if it was new or replaced the known one.
    bool merge(const member& m, steady_time now);

    /// Drops a record, so that it can be learned again.
    void erase(const std::string& id);

    /// Drops dead and left members after a day, or when there are too many.
    void expire(steady_time now);

    /// The known record, or nullptr.
    const member* find(const std::string& id) const;

    /// The member that is not dead or left at that address, or nullptr.
    const member* find_live(const peer_address& address) const;

    /// Whether any member, in any state, is known at that address.
    bool knows(const peer_address& address) const;

    /// Ordered by id.
    std::vector<member> all() const;

    /// Members that are not dead or left.
    std::vector<const member*> live() const;
    std::vector<const member*> dead() const;
    std::size_t live_count() const { return live_count_; }
    std::size_t size() const { return records_.size(); }

    /// Number of changes so far.
    std::uint64_t changes() const { return changes_; }

    /// Equal for tables that agree on all members that are not dead or left.
    std::uint64_t digest() const { return digest_; }

    /// Short forms of the live members in one of the buckets that ids are spread over by hash.
    std::vector<digest_entry> entries(std::size_t bucket, std::size_t buckets) const;

    /// Records of the bucket that the other table lacks or has in another version.
    std::vector<member> differences(const std::vector<digest_entry>& other, std::size_t bucket,
                                    std::size_t buckets) const;

private:
    struct record {
        member value;
        steady_time changed;
    };

    void count(const member& m, bool added);

    std::map<std::string, record> records_;
    std::size_t live_count_ = 0;
    std::uint64_t digest_ = 0;
    std::uint64_t changes_ = 0;
};

} // namespace wagtailhatch
