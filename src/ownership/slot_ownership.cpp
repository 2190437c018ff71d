#include "include/ownership/slot_ownership.h"

#include <algorithm>

namespace wagtailhatch {

namespace {

// Going on alone needs a longer look than choosing a new partner: a node that is cut off from its data centre
// but not from the table would otherwise keep a slot that its partner can serve.
constexpr int alone_grace_factor = 6;

} // namespace

slot_ownership::slot_ownership(slot_ownership_options options, node_ref self, table_service& table,
                               const clock& time, random_source& random, slot_events& events)
    : options_{std::move(options)}
    , self_{std::move(self)}
    , table_{table}
    , clock_{time}
    , random_{random}
    , events_{events}
    , slots_(options_.slots)
    , started_{time.now()}
    , next_list_{time.now()}
    , list_retry_{options_.first_retry}
{
    for (auto& s : slots_) {
        s.retry = options_.first_retry;
    }
}

slot_ownership::~slot_ownership() = default;

void slot_ownership::set_live_members(const std::vector<node_ref>& members)
{
    live_.clear();
    live_incarnations_.clear();
    for (const auto& m : members) {
        if (m.id == self_.id) {
            continue;
        }
        live_.push_back(m);
        live_incarnations_[m.id] = m.incarnation;
        // A higher incarnation of an id announced itself: the ones before have ended.
        if (m.incarnation > 0) {
            report_ended(m.id, m.incarnation - 1);
        }
    }
}

void slot_ownership::report_ended(const std::string& id, std::uint64_t incarnation)
{
    auto& known = ended_[id];
    known = std::max(known, incarnation);
}

bool slot_ownership::live(const node_ref& n) const
{
    if (n.id == self_.id) {
        return n.incarnation == self_.incarnation;
    }
    const auto found = live_incarnations_.find(n.id);
    return found != live_incarnations_.end() && found->second == n.incarnation;
}

bool slot_ownership::ended(const node_ref& n) const
{
    if (n.id == self_.id) {
        return n.incarnation < self_.incarnation;
    }
    const auto found = ended_.find(n.id);
    return found != ended_.end() && found->second >= n.incarnation;
}

node_ref slot_ownership::choose(std::uint32_t slot, const std::vector<std::string>& without) const
{
    const auto name = key(slot);
    node_ref best;
    std::uint64_t best_weight = 0;
    const auto offer = [&](const node_ref& n) {
        if (std::find(without.begin(), without.end(), n.id) != without.end()) {
            return;
        }
        const auto weight = rendezvous_weight(name, n.id);
        if (best.empty() || weight > best_weight) {
            best = n;
            best_weight = weight;
        }
    };
    if (!leaving_) {
        offer(self_);
    }
    for (const auto& m : live_) {
        offer(m);
    }
    return best;
}

bool slot_ownership::decide(std::uint32_t slot, slot_row& next) const
{
    const auto& s = slots_[slot];
    next = {options_.slots, s.row.epoch + 1, self_, {}, false};
    switch (s.role) {
    case slot_role::owner:
        return decide_owner(slot, next);
    case slot_role::partner:
        return decide_partner(slot, next);
    case slot_role::none:
        break;
    }
    return decide_other(slot, next);
}

bool slot_ownership::decide_owner(std::uint32_t slot, slot_row& next) const
{
    const auto& s = slots_[slot];
    const bool partner_live = !s.row.partner.empty() && live(s.row.partner);
    if (leaving_ && partner_live) {
        next.owner = s.row.partner;
        next.partner = choose(slot, {self_.id, s.row.partner.id});
        return s.synced;
    }
    if (partner_live) {
        return false;
    }
    next.partner = choose(slot, {self_.id});
    return !(next.partner.empty() && s.row.partner.empty());
}

bool slot_ownership::decide_partner(std::uint32_t slot, slot_row& next) const
{
    const auto& s = slots_[slot];
    if (live(s.row.owner)) {
        return false;
    }
    next.partner = choose(slot, {self_.id});
    next.history_lost = !s.synced;
    return s.synced || ended(s.row.owner);
}

// Runs for every slot on every tick, so the candidates are weighed only when a pair looks broken.
bool slot_ownership::decide_other(std::uint32_t slot, slot_row& next) const
{
    const auto& s = slots_[slot];
    if (leaving_) {
        return false;
    }
    if (s.row.epoch == 0) {
        if (!listed_once_ || clock_.now() - started_ < options_.create_delay) {
            return false;
        }
    }
    else {
        const bool has_partner = !s.row.partner.empty();
        const bool evidence = ended(s.row.owner) || (has_partner && ended(s.row.partner));
        if (live(s.row.owner) || (has_partner && live(s.row.partner)) || !evidence) {
            return false;
        }
    }
    next.history_lost = s.row.epoch > 0;
    next.partner = choose(slot, {self_.id});
    return choose(slot, {}).same(self_);
}

void slot_ownership::learn(std::uint32_t slot, const slot_row& row)
{
    if (slot < slots_.size()) {
        adopt(slot, row);
    }
}

void slot_ownership::adopt(std::uint32_t slot, const slot_row& row)
{
    auto& s = slots_[slot];
    if (row.slots != options_.slots) {
        count_differs_ = true;
        return;
    }
    if (row.epoch <= s.row.epoch) {
        return;
    }
    const auto old_role = s.role;
    const auto old_epoch = s.row.epoch;
    const bool next_epoch = row.epoch == old_epoch + 1;
    const bool held_history =
        row.epoch == 1 ||
        (next_epoch && (old_role == slot_role::owner || (old_role == slot_role::partner && s.synced)));
    s.row = row;
    s.sealed = s.may_land = s.synced = s.wanted = false;
    s.needed_since = {};
    s.retry = options_.first_retry;
    s.role = row.owner.same(self_)     ? slot_role::owner
             : row.partner.same(self_) ? slot_role::partner
                                       : slot_role::none;
    if (s.role == slot_role::owner) {
        events_.on_become_owner(slot, row.epoch, held_history && !row.history_lost);
    }
    else if (s.role == slot_role::partner) {
        events_.on_become_partner(slot, row.epoch);
    }
    else if (old_role != slot_role::none) {
        events_.on_lost(slot, old_epoch);
    }
}

void slot_ownership::look_again(std::uint32_t slot)
{
    if (slot < slots_.size()) {
        slots_[slot].wanted = true;
    }
}

void slot_ownership::mark_synced(std::uint32_t slot, std::uint64_t epoch)
{
    auto& s = slots_[slot];
    if (s.row.epoch == epoch && s.role != slot_role::none) {
        s.synced = true;
    }
}

bool slot_ownership::may_acknowledge(std::uint32_t slot, std::uint64_t epoch) const
{
    return slot < slots_.size() && slots_[slot].role == slot_role::partner &&
           slots_[slot].row.epoch == epoch && !slots_[slot].sealed;
}

bool slot_ownership::may_act(std::uint32_t slot, std::uint64_t epoch) const
{
    return slot < slots_.size() && slots_[slot].role == slot_role::owner && slots_[slot].row.epoch == epoch &&
           !slots_[slot].sealed;
}

void slot_ownership::hand_over_all(duration limit, std::function<void()> done)
{
    leaving_ = true;
    leave_by_ = clock_.now() + limit;
    left_ = std::move(done);
    check_handed_over();
}

void slot_ownership::check_handed_over()
{
    if (!left_) {
        return;
    }
    const bool owns = std::any_of(slots_.begin(), slots_.end(),
                                  [](const slot_entry& s) { return s.role == slot_role::owner; });
    if ((owns && !live_.empty()) && clock_.now() < leave_by_) {
        return;
    }
    const auto done = std::move(left_);
    left_ = nullptr;
    done();
}

void slot_ownership::tick()
{
    if (!listing_ && clock_.now() >= next_list_) {
        if (!listed_once_ || is_reader()) {
            read_all();
        }
        else {
            next_list_ = clock_.now() + jittered(options_.refresh);
        }
    }
    if (count_differs_) {
        return;
    }
    for (std::uint32_t i = 0; i < slots_.size(); ++i) {
        consider(i);
    }
    check_handed_over();
}

void slot_ownership::consider(std::uint32_t slot)
{
    auto& s = slots_[slot];
    if (s.busy) {
        return;
    }
    slot_row next;
    const bool needed = decide(slot, next);
    if (!needed) {
        s.needed_since = {};
    }
    if (!needed && !s.may_land && !s.wanted) {
        return;
    }
    const auto now = clock_.now();
    if (needed && s.needed_since == steady_time{}) {
        s.needed_since = now;
    }
    duration grace = leaving_ || s.row.epoch == 0 ? duration{0} : duration{options_.loss_grace};
    if (next.owner.same(self_) && next.partner.empty()) {
        grace *= alone_grace_factor;
    }
    const bool due = (needed && now - s.needed_since >= grace) || s.may_land || s.wanted;
    if (due && now >= s.next_try) {
        attempt(slot);
    }
}

} // namespace wagtailhatch
