#pragma once

#include "include/core/clock.h"
#include "include/core/random_source.h"
#include "include/membership/group_follower.h"
#include "include/membership/swim_group.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace wagtailhatch::test {

constexpr std::chrono::milliseconds step{100};
constexpr std::size_t steps_per_period = 10;

/// Simulated network with faults, and a clock that it moves.
class network {
public:
    using receiver = std::function<void(const peer_address& from, const group_message& m)>;

    explicit network(std::uint64_t seed)
        : random{seed}
    {
    }

    manual_clock time;
    random_source random;
    double drop = 0;
    double duplicate = 0;
    duration max_delay = std::chrono::milliseconds{20};
    std::set<std::pair<peer_address, peer_address>> cuts; ///< One way each.
    std::set<peer_address> paused;
    std::size_t messages = 0;
    std::size_t bytes = 0;
    bool oversized = false;
    bool unreadable = false;

    void attach(const peer_address& at, receiver r) { receivers_[at] = std::move(r); }
    void detach(const peer_address& at) { receivers_.erase(at); }

    void send(const peer_address& from, const peer_address& to, const group_message& m)
    {
        const auto encoded = encode_group_message(m);
        ++messages;
        bytes += encoded.size();
        oversized = oversized || encoded.size() > max_group_message;
        const int copies = random.unit() < duplicate ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            if (random.unit() >= drop && !cuts.contains({from, to})) {
                const duration delay{static_cast<duration::rep>(
                    random.below(static_cast<std::uint64_t>(max_delay.count()) + 1))};
                in_flight_.emplace(time.now() + delay, flight{from, to, encoded});
            }
        }
    }

    /// Moves time by one step and delivers what is due; paused receivers get theirs later.
    void advance()
    {
        time.advance(step);
        std::multimap<steady_time, flight> later;
        while (!in_flight_.empty() && in_flight_.begin()->first <= time.now()) {
            auto next = in_flight_.extract(in_flight_.begin());
            if (paused.contains(next.mapped().to)) {
                later.insert(std::move(next));
            }
            else {
                deliver(next.mapped());
            }
        }
        in_flight_.merge(later);
    }

private:
    struct flight {
        peer_address from;
        peer_address to;
        std::string bytes;
    };

    void deliver(const flight& f)
    {
        const auto found = receivers_.find(f.to);
        if (found == receivers_.end()) {
            return;
        }
        const auto m = decode_group_message(f.bytes);
        unreadable = unreadable || !m;
        if (m) {
            const auto receive = found->second;
            receive(f.from, *m);
        }
    }

    std::multimap<steady_time, flight> in_flight_;
    std::map<peer_address, receiver> receivers_;
};

/// Sends from one address.
class network_sender final : public group_sender {
public:
    network_sender(network& net, peer_address from)
        : net_{net}
        , from_{std::move(from)}
    {
    }
    void send(const peer_address& to, const group_message& m) override { net_.send(from_, to, m); }

private:
    network& net_;
    peer_address from_;
};

inline peer_address address_of(std::size_t index)
{
    return "10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250 + 1) + ":4000";
}

inline member make_member(std::size_t index, std::uint64_t incarnation = 1)
{
    return {"i" + std::to_string(index), "labels", "dc1", address_of(index), incarnation, 0,
            member_state::joining};
}

/// The nodes of one group.
class simulated_group {
public:
    simulated_group(network& net, std::size_t size)
        : net_{net}
        , incarnations_(size, 0)
        , starts_(size, 0)
        , nodes_(size)
    {
        for (std::size_t i = 0; i < size; ++i) {
            start(i);
        }
    }

    network& net() { return net_; }
    std::size_t size() const { return nodes_.size(); }
    bool live(std::size_t i) const { return nodes_.at(i) != nullptr; }
    std::size_t starts(std::size_t i) const { return starts_.at(i); }
    swim_group& at(std::size_t i) { return *nodes_.at(i)->group; }

    /// Starts or restarts an instance under its address; without a change of step its incarnation rises by 1.
    void start(std::size_t i, std::int64_t incarnation_step = 1)
    {
        incarnations_.at(i) = static_cast<std::uint64_t>(
            std::max<std::int64_t>(1, static_cast<std::int64_t>(incarnations_.at(i)) + incarnation_step));
        auto created = std::make_unique<node>(net_, make_member(i, incarnations_.at(i)));
        auto* group = &created->group.emplace(created->initial, swim_options{}, net_.time, net_.random,
                                              created->sender);
        net_.paused.erase(address_of(i));
        nodes_.at(i) = std::move(created);
        ++starts_.at(i);
        net_.attach(address_of(i), [group](const auto& from, const auto& m) { group->handle(from, m); });
        group->set_state(member_state::ready);
    }

    /// Ends an instance without a word.
    void kill(std::size_t i)
    {
        if (live(i)) {
            incarnations_.at(i) = std::max(incarnations_.at(i), at(i).self().incarnation);
        }
        net_.detach(address_of(i));
        nodes_.at(i).reset();
    }

    void run(
        std::size_t periods, const std::function<void()>& check = [] {})
    {
        for (std::size_t n = 0; n < periods * steps_per_period; ++n) {
            net_.advance();
            for (std::size_t i = 0; i < size(); ++i) {
                if (live(i) && !net_.paused.contains(address_of(i))) {
                    tick(i);
                }
            }
            check();
        }
    }

    /// Whether all live nodes show exactly the live nodes, as these describe themselves.
    bool agreed()
    {
        std::map<std::string, member> truth;
        for (std::size_t i = 0; i < size(); ++i) {
            if (live(i)) {
                truth[at(i).self().id] = at(i).self();
            }
        }
        for (std::size_t i = 0; i < size(); ++i) {
            if (!live(i)) {
                continue;
            }
            const auto shown = at(i).table().live();
            const bool same = std::all_of(shown.begin(), shown.end(), [&](const member* m) {
                const auto found = truth.find(m->id);
                return found != truth.end() && !supersedes(*m, found->second) &&
                       !supersedes(found->second, *m);
            });
            if (!same || shown.size() != truth.size()) {
                return false;
            }
        }
        return true;
    }

    /// Periods until agreement, at most limit; limit + 1 if there was none.
    std::size_t periods_to_agree(std::size_t limit)
    {
        for (std::size_t n = 0; n <= limit; ++n) {
            if (agreed()) {
                return n;
            }
            run(1);
        }
        return limit + 1;
    }

private:
    struct node {
        node(network& net, member self)
            : sender{net, self.address}
            , initial{std::move(self)}
        {
        }
        network_sender sender;
        member initial;
        std::optional<swim_group> group;
        std::size_t ticks = 0;
    };

    /// Like membership_service: contacts an unknown address each period, any each 30.
    void tick(std::size_t i)
    {
        auto& n = *nodes_.at(i);
        if (n.ticks++ % steps_per_period == 0) {
            const auto to = address_of(net_.random.below(size()));
            if (!n.group->table().knows(to) || n.ticks % (steps_per_period * 30) == 1) {
                n.group->contact(to);
            }
        }
        n.group->tick();
    }

    network& net_;
    std::vector<std::uint64_t> incarnations_;
    std::vector<std::size_t> starts_;
    std::vector<std::unique_ptr<node>> nodes_;
};

} // namespace wagtailhatch::test
