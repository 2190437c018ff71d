#include "include/membership/group_follower.h"

#include "src/membership/table_sync.h"

#include <chrono>
#include <utility>

namespace wagtailhatch {
namespace {

constexpr std::chrono::milliseconds question_interval{1000};
/// After this, a suspect that the group neither confirmed nor cleared is forgotten here and learned anew.
constexpr std::chrono::seconds suspicion_time{30};
/// Rounds without an answer after which other nodes are asked too.
constexpr std::size_t max_silent_rounds = 3;

} // namespace

group_follower::group_follower(std::string service, const clock& time, random_source& random,
                               group_sender& sender)
    : service_{std::move(service)}
    , time_{time}
    , random_{random}
    , sender_{sender}
    , sync_{std::make_unique<table_sync>()}
    , next_question_{time.now()}
{
}

group_follower::~group_follower() = default;

bool group_follower::take_changed()
{
    return std::exchange(changed_, false);
}

void group_follower::tick(const std::vector<peer_address>& contacts)
{
    expire();
    if (time_.now() >= next_question_) {
        // The jitter keeps followers that started together from asking together.
        const auto jitter = question_interval.count() / 4;
        next_question_ = time_.now() + question_interval - std::chrono::milliseconds{jitter} +
                         std::chrono::milliseconds{random_.below(2 * jitter)};
        ask(contacts);
    }
}

void group_follower::expire()
{
    std::erase_if(suspected_, [this](const auto& entry) {
        const auto* m = table_.find(entry.first);
        if (m == nullptr || m->state != member_state::suspect) {
            return true;
        }
        if (time_.now() < entry.second) {
            return false;
        }
        // Declaring it dead would keep it out until its next start, and only the group may do that.
        table_.erase(entry.first);
        changed_ = true;
        return true;
    });
    table_.expire(time_.now());
}

void group_follower::ask(const std::vector<peer_address>& contacts)
{
    silent_rounds_ = sync_->unanswered() ? silent_rounds_ + 1 : 0;
    const auto to = choose(contacts);
    if (!to.empty()) {
        send(to, sync_->begin(service_, table_));
    }
}

peer_address group_follower::choose(const std::vector<peer_address>& contacts)
{
    std::vector<peer_address> members;
    for (const auto* m : table_.live()) {
        if (m->state != member_state::suspect) {
            members.push_back(m->address);
        }
    }
    const bool ask_contacts =
        members.empty() || (silent_rounds_ >= max_silent_rounds && random_.below(2) == 0);
    const auto& candidates = ask_contacts && !contacts.empty() ? contacts : members;
    return candidates.empty() ? peer_address{} : candidates[random_.below(candidates.size())];
}

void group_follower::send(const peer_address& to, group_message m)
{
    for (const auto& [id, until] : suspected_) {
        if (const auto* suspect = table_.find(id)) {
            m.updates.push_back(*suspect);
        }
    }
    sender_.send(to, m);
}

bool group_follower::learn(const member& m)
{
    const bool changed = table_.merge(m, time_.now());
    changed_ = changed_ || changed;
    return changed;
}

void group_follower::handle(const peer_address& from, const group_message& m)
{
    if (m.service != service_) {
        return;
    }
    bool changed = m.self && m.self->address == from && learn(*m.self);
    if (m.type == group_message::kind::digest) {
        sender_.send(from, table_sync::answer(m, table_));
        return;
    }
    if (m.type != group_message::kind::answer || !sync_->expects(m)) {
        return;
    }
    for (const auto& update : m.updates) {
        changed = learn(update) || changed;
    }
    if (auto question = sync_->next(m, table_, changed)) {
        send(from, std::move(*question));
    }
}

void group_follower::report_unreachable(const peer_address& address)
{
    const auto* m = table_.find_live(address);
    if (m == nullptr || m->state == member_state::suspect) {
        return;
    }
    member suspect = *m;
    suspect.state = member_state::suspect;
    suspected_[suspect.id] = time_.now() + suspicion_time;
    learn(suspect);
    next_question_ = time_.now();
}

} // namespace wagtailhatch
