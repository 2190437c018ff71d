#pragma once

#include "include/core/clock.h"
#include "include/membership/group_message.h"

#include <cstddef>
#include <map>
#include <string>

namespace wagtailhatch {

/// Members of other groups that asked this node, so that a seed can tell nodes of one service of each other
/// while the table is away. Bounded by count and age.
class relay_cache {
public:
    explicit relay_cache(const clock& time)
        : time_{time}
    {
    }

    /// Remembers the sender of a digest and answers with the others of its group.
    group_message answer(const peer_address& from, const group_message& question);

private:
    struct entry {
        member value;
        steady_time heard;
    };
    using group = std::map<std::string, entry>;

    void remember(const member& m);
    void expire();

    const clock& time_;
    std::map<std::string, group> groups_;
};

} // namespace wagtailhatch
