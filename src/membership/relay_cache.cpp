#include "src/membership/relay_cache.h"

#include "src/membership/table_sync.h"

#include <algorithm>
#include <chrono>

namespace wagtailhatch {
namespace {

constexpr std::chrono::minutes entry_age{10};
constexpr std::size_t max_group_entries = 16; ///< Enough to reach the group; it tells the rest itself.
constexpr std::size_t max_groups = 1024;

} // namespace

group_message relay_cache::answer(const peer_address& from, const group_message& question)
{
    expire();
    if (question.self && question.self->address == from) {
        remember(*question.self);
    }
    member_table table;
    const auto found = groups_.find(question.service);
    if (found != groups_.end()) {
        for (const auto& [id, e] : found->second) {
            table.merge(e.value, e.heard);
        }
    }
    return table_sync::answer(question, table);
}

void relay_cache::remember(const member& m)
{
    if (!groups_.contains(m.service) && groups_.size() >= max_groups) {
        return;
    }
    auto& members = groups_[m.service];
    if (is_final(m.state)) {
        members.erase(m.id);
        return;
    }
    if (!members.contains(m.id) && members.size() >= max_group_entries) {
        members.erase(std::min_element(members.begin(), members.end(), [](const auto& a, const auto& b) {
            return a.second.heard < b.second.heard;
        }));
    }
    members[m.id] = {m, time_.now()};
}

void relay_cache::expire()
{
    const auto now = time_.now();
    for (auto& [service, members] : groups_) {
        std::erase_if(members, [now](const auto& e) { return now - e.second.heard > entry_age; });
    }
    std::erase_if(groups_, [](const auto& g) { return g.second.empty(); });
}

} // namespace wagtailhatch
