#pragma once

#include "include/membership/group_message.h"

#include <cstddef>
#include <cstdint>

namespace wagtailhatch {

/// The asking side of comparing member tables: first only digests; if they differ, short forms of all
/// members, bucket by bucket, answered by the records that differ.
class table_sync {
public:
    /// The first question of a round.
    group_message begin(const std::string& service, const member_table& table);

    /// The next question after an answer, or nothing when the round is over. changed tells whether the
    /// answer's updates changed the table.
    std::optional<group_message> next(const group_message& answer, const member_table& table, bool changed);

    /// True if the answer belongs to the current round.
    bool expects(const group_message& answer) const { return answer.sequence == sequence_ && open_; }

    /// True if the last round got no answer.
    bool unanswered() const { return open_ && asked_ == 1; }

    /// The answering side.
    static group_message answer(const group_message& question, const member_table& table);

private:
    group_message question(const std::string& service, const member_table& table, bool detailed);

    std::uint32_t sequence_ = 0;
    std::size_t asked_ = 0;
    std::size_t bucket_ = 0;
    std::size_t buckets_ = 1;
    bool open_ = false;
};

} // namespace wagtailhatch
