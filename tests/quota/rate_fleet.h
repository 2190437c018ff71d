#pragma once

#include "include/core/random_source.h"
#include "include/quota/allocator_candidates.h"
#include "include/quota/fleet_view.h"
#include "include/quota/rate_limiter.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace wagtailhatch::test {

constexpr auto fleet_tick = std::chrono::milliseconds{10};
constexpr duration quota_window = std::chrono::seconds{5};
constexpr double quota_overage = 0.1;
constexpr double quota_slack = 20;

/// Simulated nodes with one workspace `w`, whose messages arrive after a delay. A node believes that a peer
/// is reachable until nothing has arrived from it for a while, as the peer mesh does.
class rate_fleet {
public:
    rate_fleet(std::size_t nodes, double rate)
        : rate_fleet{nodes, rate, rate}
    {
    }

    rate_fleet(std::size_t nodes, double rate, double burst, std::uint64_t seed = 7)
        : rate_{rate}
        , burst_{burst}
        , random_{seed}
    {
        config_.workspaces["w"] = {"w", rate, burst, {}, {}};
        nodes_.resize(nodes);
        for (auto& n : nodes_) {
            n.heard.assign(nodes, now_);
        }
        for (std::size_t i = 0; i < nodes; ++i) {
            restart(i);
        }
    }

    /// Replaces a node by a new process that knows nothing. Its connections are closed, which its peers
    /// notice. It learns after store_delay which other nodes there are.
    void restart(std::size_t i, duration store_delay = {})
    {
        auto& n = nodes_[i];
        n.limiter = std::make_unique<rate_limiter>(
            rate_allocator_options{quota_overage}, name(i),
            [this, i](const peer_address& to, const rate_request& request) {
                return send(i, to, [request, i, this](std::size_t k) {
                    const auto grant = nodes_[k].limiter->on_request(request, now_);
                    send(k, name(i),
                         [grant, this](std::size_t back) { nodes_[back].limiter->on_grant(grant, now_); });
                });
            });
        ++n.incarnation;
        n.limiter->set_configuration(config_, now_);
        n.view = std::make_unique<fleet_view>(name(i));
        n.allocates = false;
        n.allocators.clear();
        n.fraction = 0;
        n.started = now_;
        n.fleet_known_at = now_ + store_delay;
        n.linked_at = now_ + std::max<duration>(store_delay, link_time);
        n.next_view = now_ + std::chrono::duration_cast<duration>(view_interval * random_.unit());
        n.heard.assign(nodes_.size(), now_);
        for (auto& other : nodes_) {
            other.heard[i] = now_;
        }
        // Its peers notice that the links have ended.
        for (std::size_t k = 0; k < nodes_.size(); ++k) {
            if (k != i && nodes_[k].view) {
                update_view(k);
            }
        }
    }

    void set_limits(double rate, double burst)
    {
        config_.workspaces["w"].rate = rate;
        config_.workspaces["w"].burst = burst;
        for (auto& n : nodes_) {
            n.limiter->set_configuration(config_, now_);
        }
    }

    /// demand: requests per second at each node.
    void run(duration length, const std::function<double(std::size_t)>& demand)
    {
        for (const auto end = now_ + length; now_ < end; now_ += fleet_tick) {
            deliver();
            for (std::size_t i = 0; i < nodes_.size(); ++i) {
                if (!paused(i)) {
                    step(i, demand(i));
                }
            }
            while (!admitted_.empty() && now_ - admitted_.front() > quota_window) {
                admitted_.pop_front();
            }
            max_in_window = std::max(max_in_window, static_cast<double>(admitted_.size()));
        }
    }

    /// Simultaneous requests of one node's callers.
    void spike(std::size_t i, int requests)
    {
        for (int k = 0; k < requests; ++k) {
            send_request(i);
        }
    }

    double bound() const
    {
        const double seconds = std::chrono::duration<double>(quota_window).count();
        return (rate_ * seconds + burst_) * (1 + quota_overage) + quota_slack;
    }

    static std::string name(std::size_t i) { return "n" + std::to_string(i); }

    /// The node that allocates the rate while all are reachable.
    std::size_t allocator() const
    {
        std::vector<peer_address> all;
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            all.push_back(name(i));
        }
        allocator_ring ring;
        ring.set_nodes(all);
        return std::stoul(ring.owner("w").substr(1));
    }

    /// Whether messages from one node reach another.
    std::function<bool(std::size_t, std::size_t)> linked = [](std::size_t, std::size_t) { return true; };
    /// Whether the link between two nodes is reset at both ends, and dials find nobody or are refused.
    std::function<bool(std::size_t, std::size_t)> resets = [](std::size_t, std::size_t) { return false; };
    bool refuses = false; ///< What dials of a link that resets() meet.
    /// One-way delay of a message.
    std::function<duration(std::size_t, std::size_t)> delay = [](std::size_t, std::size_t) {
        return std::chrono::milliseconds{2};
    };
    /// Whether a node does nothing at the moment; its messages wait.
    std::function<bool(std::size_t)> paused = [](std::size_t) { return false; };
    duration max_wait = std::chrono::milliseconds{100};
    double max_in_window = 0; ///< Maximum admitted in any window.
    std::uint64_t sent = 0;
    std::uint64_t refused = 0;
    std::uint64_t messages = 0;

private:
    static constexpr duration heartbeat = std::chrono::milliseconds{400};
    static constexpr duration silence_timeout = std::chrono::milliseconds{1600};
    static constexpr duration suspect_timeout = std::chrono::milliseconds{800};
    /// A node looks at its links this often.
    static constexpr duration view_interval = std::chrono::milliseconds{250};
    static constexpr duration link_time = std::chrono::milliseconds{200};

    struct node {
        std::unique_ptr<rate_limiter> limiter;
        std::unique_ptr<fleet_view> view;
        std::uint64_t incarnation = 0;
        std::vector<steady_time> heard; ///< Last time something arrived, by sender.
        steady_time started{};
        steady_time fleet_known_at{}; ///< When the node learns which other nodes there are.
        steady_time linked_at{};      ///< From when peers have links to this process.
        bool allocates = false;
        std::vector<peer_address> allocators; ///< As last passed to the limiter, like the next.
        double fraction = 0;
        steady_time last_heartbeat{};
        steady_time next_view{};
        double pending = 0;
    };
    struct message {
        std::size_t from = 0;
        std::size_t to = 0;
        std::uint64_t incarnation = 0;
        std::function<void(std::size_t)> handle;
    };

    bool send(std::size_t from, const peer_address& to_name, std::function<void(std::size_t)> handle)
    {
        const auto to = std::stoul(to_name.substr(1));
        ++messages;
        if (linked(from, to) && !resets(from, to)) {
            queue_.emplace(now_ + delay(from, to),
                           message{from, to, nodes_[to].incarnation, std::move(handle)});
        }
        return true;
    }

    void deliver()
    {
        std::vector<std::pair<steady_time, message>> waiting;
        while (!queue_.empty() && queue_.begin()->first <= now_) {
            auto m = std::move(queue_.begin()->second);
            queue_.erase(queue_.begin());
            if (paused(m.to)) {
                waiting.emplace_back(now_ + fleet_tick, std::move(m));
            }
            else if (nodes_[m.to].incarnation == m.incarnation) {
                nodes_[m.to].heard[m.from] = now_;
                m.handle(m.to);
            }
        }
        for (auto& [at, m] : waiting) {
            queue_.emplace(at, std::move(m));
        }
    }

    bool hears(std::size_t i, std::size_t k) const { return now_ - nodes_[i].heard[k] < silence_timeout; }

    /// A node that hears nothing from a peer closes the link, which the peer notices if that message arrives.
    bool silent(std::size_t i, std::size_t k) const { return !hears(i, k) || (!hears(k, i) && linked(k, i)); }

    peer_presence presence(std::size_t i, std::size_t k) const
    {
        const auto& n = nodes_[i];
        const auto& peer = nodes_[k];
        peer_presence p;
        p.address = name(k);
        p.linked = now_ >= peer.linked_at && now_ >= n.linked_at && !silent(i, k) && !resets(i, k);
        const bool misses_this = now_ - peer.heard[i] > suspect_timeout && linked(k, i);
        p.suspect = p.linked && (now_ - n.heard[k] > suspect_timeout || misses_this);
        p.refuses = resets(i, k) && refuses;
        p.allocates = p.linked && peer.allocates;
        p.incarnation = p.linked ? peer.incarnation : 0;
        return p;
    }

    void update_view(std::size_t i)
    {
        auto& n = nodes_[i];
        std::vector<peer_presence> peers;
        std::size_t links = 0;
        for (std::size_t k = 0; k < nodes_.size() && now_ >= n.fleet_known_at; ++k) {
            if (k != i) {
                peers.push_back(presence(i, k));
                links += peers.back().linked ? 1U : 0U;
            }
        }
        n.allocates =
            may_allocate_rates({true, now_ >= n.fleet_known_at, peers.size(), links, now_ - n.started});
        n.view->set_self(n.allocates, false);
        n.view->update(peers, {}, now_);
        auto allocators = n.view->allocators();
        const double fraction = n.view->reachable_fraction();
        if (allocators != n.allocators || fraction != n.fraction) {
            n.allocators = std::move(allocators);
            n.fraction = fraction;
            n.limiter->set_nodes(n.allocators, fraction, now_);
        }
    }

    void send_request(std::size_t i)
    {
        ++sent;
        nodes_[i].limiter->admit("w", max_wait, now_, [this](const rate_decision& decision) {
            if (decision.admitted) {
                admitted_.push_back(now_);
            }
            else {
                ++refused;
            }
        });
    }

    void step(std::size_t i, double per_second)
    {
        auto& n = nodes_[i];
        n.heard[i] = now_;
        if (now_ - n.last_heartbeat >= heartbeat) {
            n.last_heartbeat = now_;
            for (std::size_t k = 0; k < nodes_.size(); ++k) {
                if (k != i) {
                    send(i, name(k), [](std::size_t) {});
                    --messages;
                }
            }
        }
        if (now_ >= n.next_view) {
            n.next_view = now_ + view_interval;
            update_view(i);
        }
        n.pending += per_second * std::chrono::duration<double>(fleet_tick).count() * 2 * random_.unit();
        for (; n.pending >= 1; n.pending -= 1) {
            send_request(i);
        }
        n.limiter->poll(now_);
    }

    steady_time now_{std::chrono::hours{1}};
    double rate_;
    double burst_;
    random_source random_;
    configuration config_;
    std::vector<node> nodes_;
    std::multimap<steady_time, message> queue_;
    std::deque<steady_time> admitted_;
};

} // namespace wagtailhatch::test
