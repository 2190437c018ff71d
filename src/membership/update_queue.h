#pragma once

#include "include/membership/group_message.h"
#include "include/membership/member_table.h"

#include <cstddef>
#include <map>
#include <string>

namespace wagtailhatch {

/// Records that are spread by riding on other messages, each a bounded number of times.
class update_queue {
public:
    /// Starts spreading the record of that id, anew if it is being spread.
    void add(const std::string& id) { sent_[id] = 0; }

    /// Adds records that were sent least often to the message, as far as they fit; each up to limit times.
    void fill(group_message& m, const member_table& table, std::size_t limit);

private:
    std::map<std::string, std::size_t> sent_;
};

} // namespace wagtailhatch
