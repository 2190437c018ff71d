#include "include/membership/swim_group.h"

#include "src/membership/table_sync.h"
#include "src/membership/update_queue.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace wagtailhatch {
namespace {

constexpr std::size_t max_relays = 256;
/// Members told at once when this one leaves; gossip reaches the rest.
constexpr std::size_t broadcast_size = 8;
/// A process this young keeps its id against records of an earlier life at another address; an older one that
/// sees a higher incarnation elsewhere was replaced while it was paused, and stops.
constexpr std::chrono::seconds takeover_time{10};

} // namespace

swim_group::swim_group(member self, const swim_options& options, const clock& time, random_source& random,
                       group_sender& sender)
    : self_{std::move(self)}
    , options_{options}
    , time_{time}
    , random_{random}
    , sender_{sender}
    , sync_{std::make_unique<table_sync>()}
    , updates_{std::make_unique<update_queue>()}
    , last_tick_{time.now()}
    , started_{time.now()}
{
    announce_self();
}

swim_group::~swim_group() = default;

bool swim_group::take_changed()
{
    return std::exchange(changed_, false);
}

double swim_group::log_size() const
{
    return std::max(1.0, std::log10(static_cast<double>(table_.live_count()) + 1));
}

void swim_group::advance()
{
    // Time in which this process was paused does not count against others, whose messages wait unread.
    const auto now = time_.now();
    active_ += std::min<duration>(now - last_tick_, options_.period / 2);
    last_tick_ = now;
}

void swim_group::tick()
{
    advance();
    if (!listening()) {
        return;
    }
    if (probe_ && !probe_->answered && !probe_->asked_others &&
        active_ - probe_->started >= options_.ping_timeout) {
        ask_others();
    }
    if (active_ >= next_period_) {
        next_period_ = active_ + options_.period;
        run_period();
    }
    expire();
}

void swim_group::run_period()
{
    ++period_;
    finish_probe();
    start_probe();
    if (period_ % options_.reconnect_periods == 0) {
        reconnect();
    }
    if (period_ % options_.sync_periods == 0) {
        for (const auto& to : random_members(1, {})) {
            contact(to);
        }
    }
    table_.expire(time_.now());
}

void swim_group::start_probe()
{
    while (true) {
        if (ping_order_.empty()) {
            for (const auto* m : table_.live()) {
                if (m->id != self_.id) {
                    ping_order_.push_back(m->id);
                }
            }
            std::shuffle(ping_order_.begin(), ping_order_.end(), random_.engine());
            if (ping_order_.empty()) {
                return;
            }
        }
        const auto* target = table_.find(ping_order_.back());
        ping_order_.pop_back();
        if (target != nullptr && !is_final(target->state)) {
            probe_ = probe{target->id, target->address, ++sequence_, active_};
            send(group_message::kind::ping, probe_->address, probe_->sequence);
            return;
        }
    }
}

void swim_group::ask_others()
{
    probe_->asked_others = true;
    for (const auto& helper : random_members(options_.indirect_pings, probe_->address)) {
        send(group_message::kind::ping_request, helper, probe_->sequence, probe_->address);
    }
}

void swim_group::finish_probe()
{
    const auto finished = std::exchange(probe_, std::nullopt);
    if (!finished || finished->answered) {
        return;
    }
    const auto* m = table_.find(finished->id);
    if (m != nullptr && m->address == finished->address) {
        suspect(*m);
    }
}

void swim_group::suspect(const member& m)
{
    if (is_final(m.state) || m.state == member_state::suspect || m.id == self_.id) {
        return;
    }
    member suspected = m;
    suspected.state = member_state::suspect;
    learn(suspected);
}

void swim_group::reconnect()
{
    const auto dead = table_.dead();
    if (!dead.empty()) {
        const auto* m = dead[random_.below(dead.size())];
        send(group_message::kind::ping, m->address, ++sequence_, {}, m);
    }
}

void swim_group::expire()
{
    std::vector<member> overdue;
    for (auto it = suspicions_.begin(); it != suspicions_.end();) {
        const auto* m = table_.find(it->first);
        const bool current = m != nullptr && m->state == member_state::suspect &&
                             m->incarnation == it->second.incarnation &&
                             m->refutation == it->second.refutation;
        if (current && active_ < it->second.deadline) {
            ++it;
            continue;
        }
        if (current) {
            overdue.push_back(*m);
        }
        it = suspicions_.erase(it);
    }
    for (auto& m : overdue) {
        m.state = member_state::dead;
        learn(m);
    }
    std::erase_if(relays_, [this](const auto& entry) { return entry.second.deadline <= active_; });
    std::erase_if(reported_, [this](const auto& entry) { return entry.second <= active_; });
}

void swim_group::learn(const member& m)
{
    if (m.id == self_.id) {
        learn_self(m);
        return;
    }
    if (!table_.merge(m, time_.now())) {
        return;
    }
    changed_ = true;
    updates_->add(m.id);
    if (m.state == member_state::suspect) {
        const auto wait =
            std::chrono::duration_cast<duration>(options_.period * options_.suspicion_periods * log_size());
        suspicions_[m.id] = {m.incarnation, m.refutation, active_ + wait};
    }
}

void swim_group::learn_sender(const peer_address& from, const member& m)
{
    if (m.address != from) {
        return;
    }
    // One process owns an address, so any other instance known there has ended.
    const auto* former = table_.find_live(from);
    if (former != nullptr && former->id != m.id && former->id != self_.id) {
        member ended = *former;
        ended.state = member_state::dead;
        learn(ended);
    }
    learn(m);
}

void swim_group::learn_self(const member& m)
{
    if (!listening() || !supersedes(m, self_)) {
        return;
    }
    if (m.incarnation > self_.incarnation && m.address != self_.address && !is_final(m.state) &&
        time_.now() - started_ > takeover_time) {
        superseded_ = true;
        self_.state = member_state::left;
        table_.merge(m, time_.now());
        changed_ = true;
        return;
    }
    if (m.incarnation > self_.incarnation || is_final(m.state)) {
        raise_incarnation(m.incarnation + 1);
        return;
    }
    self_.refutation = m.refutation + 1;
    announce_self();
}

void swim_group::raise_incarnation(std::uint64_t at_least)
{
    if (at_least > self_.incarnation) {
        self_.incarnation = at_least;
        self_.refutation = 0;
        announce_self();
    }
}

void swim_group::announce_self()
{
    table_.merge(self_, time_.now());
    updates_->add(self_.id);
    changed_ = true;
}

void swim_group::set_state(member_state s)
{
    if (self_.state == s || !listening()) {
        return;
    }
    if (s != member_state::left) {
        ++self_.refutation; // Orders the states of one incarnation.
    }
    self_.state = s;
    announce_self();
    if (s == member_state::leaving || s == member_state::left) {
        broadcast_self();
    }
}

void swim_group::broadcast_self()
{
    for (const auto& to : random_members(broadcast_size, {})) {
        send(group_message::kind::ping, to, ++sequence_);
    }
}

void swim_group::report_unreachable(const peer_address& address)
{
    const auto* m = table_.find_live(address);
    if (m == nullptr || m->id == self_.id || reported_.contains(m->id)) {
        return;
    }
    const std::string id = m->id;
    // One report counts for a suspicion's time, because a fault between two nodes alone is refuted each time.
    reported_[id] =
        active_ + std::chrono::duration_cast<duration>(options_.period * 2 * options_.suspicion_periods);
    suspect(*m);
    send(group_message::kind::ping, address, ++sequence_);
}

void swim_group::contact(const peer_address& to)
{
    if (to != self_.address && listening()) {
        send_with_self(to, sync_->begin(self_.service, table_));
    }
}

std::vector<peer_address> swim_group::random_members(std::size_t count, const peer_address& except)
{
    std::vector<peer_address> found;
    for (const auto* m : table_.live()) {
        if (m->id != self_.id && m->address != except) {
            found.push_back(m->address);
        }
    }
    std::shuffle(found.begin(), found.end(), random_.engine());
    found.resize(std::min(count, found.size()));
    return found;
}

void swim_group::handle(const peer_address& from, const group_message& m)
{
    if (m.service != self_.service || from == self_.address || !listening()) {
        return;
    }
    const auto changes = table_.changes();
    if (m.self) {
        learn_sender(from, *m.self);
    }
    for (const auto& update : m.updates) {
        learn(update);
    }
    switch (m.type) {
    case group_message::kind::ping:
        reply(from, m);
        break;
    case group_message::kind::ack:
        take_ack(m);
        break;
    case group_message::kind::ping_request:
        pass_on_ping(from, m);
        break;
    case group_message::kind::digest:
        send_with_self(from, table_sync::answer(m, table_));
        break;
    case group_message::kind::answer:
        if (sync_->expects(m)) {
            if (auto question = sync_->next(m, table_, table_.changes() != changes)) {
                send_with_self(from, std::move(*question));
            }
        }
        break;
    }
}

void swim_group::reply(const peer_address& to, const group_message& question)
{
    // A sender that is known in a later state than it claims must learn it, to come back with a higher
    // number.
    const auto* known = question.self ? table_.find(question.self->id) : nullptr;
    const bool correct = known != nullptr && supersedes(*known, *question.self);
    send(group_message::kind::ack, to, question.sequence, {}, correct ? known : nullptr);
}

void swim_group::take_ack(const group_message& m)
{
    if (probe_ && probe_->sequence == m.sequence) {
        probe_->answered = true;
    }
    const auto found = relays_.find(m.sequence);
    if (found == relays_.end()) {
        return;
    }
    const auto passed = found->second;
    relays_.erase(found);
    const auto* target = m.self ? table_.find(m.self->id) : nullptr;
    send(group_message::kind::ack, passed.to, passed.sequence, {}, target);
}

void swim_group::pass_on_ping(const peer_address& from, const group_message& m)
{
    if (relays_.size() >= max_relays) {
        return;
    }
    relays_[++sequence_] = {from, m.sequence, active_ + options_.period};
    send(group_message::kind::ping, m.target, sequence_);
}

void swim_group::send(group_message::kind type, const peer_address& to, std::uint32_t sequence,
                      const peer_address& target, const member* first)
{
    group_message m;
    m.type = type;
    m.service = self_.service;
    m.sequence = sequence;
    m.target = target;
    m.self = self_;
    if (first != nullptr) {
        m.updates.push_back(*first);
    }
    // A suspect hears of it from everyone who talks to it.
    const auto* receiver = table_.find_live(to);
    if (receiver != nullptr && receiver->state == member_state::suspect) {
        m.updates.push_back(*receiver);
    }
    updates_->fill(m, table_, static_cast<std::size_t>(std::ceil(options_.retransmissions * log_size())));
    sender_.send(to, m);
}

void swim_group::send_with_self(const peer_address& to, group_message m)
{
    m.self = self_;
    sender_.send(to, m);
}

} // namespace wagtailhatch
