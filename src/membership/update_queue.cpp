#include "src/membership/update_queue.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace wagtailhatch {

void update_queue::fill(group_message& m, const member_table& table, std::size_t limit)
{
    std::vector<std::pair<std::size_t, const member*>> waiting;
    for (const auto& [id, sent] : sent_) {
        const auto* update = table.find(id);
        // The sender's own record goes with every message.
        if (update != nullptr && !(m.self && m.self->id == id)) {
            waiting.emplace_back(sent, update);
        }
    }
    std::stable_sort(waiting.begin(), waiting.end(),
                     [](const auto& a, const auto& b) { return a.first < b.first; });
    std::size_t room = room_for_updates(m);
    for (const auto& [sent, update] : waiting) {
        const auto size = encoded_size(*update);
        if (size > room) {
            break;
        }
        room -= size;
        m.updates.push_back(*update);
        if (++sent_[update->id] >= limit) {
            sent_.erase(update->id);
        }
    }
}

} // namespace wagtailhatch
