#pragma once

#include "include/core/clock.h"
#include "include/core/random_source.h"
#include "include/membership/group_message.h"
#include "include/membership/member_table.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace wagtailhatch {

class table_sync;
class update_queue;

struct swim_options {
    duration period = std::chrono::seconds{1};              ///< Between pings.
    duration ping_timeout = std::chrono::milliseconds{300}; ///< Until others are asked to ping.
    std::size_t indirect_pings = 3;
    /// Periods until a suspect is dead, for groups of up to 10; grows with the logarithm of the size.
    double suspicion_periods = 4;
    /// Each update is sent this often, times the logarithm of the size.
    double retransmissions = 4;
    std::size_t reconnect_periods = 3; ///< A dead member is pinged each so many periods, to heal partitions.
    std::size_t sync_periods = 5;      ///< Tables are compared with a member each so many periods.
};

/// One node's membership in the group of its service, by the SWIM protocol. State machine without sockets or
/// threads: call tick() several times a period and handle() for each message.
class swim_group {
public:
    swim_group(member self, const swim_options& options, const clock& time, random_source& random,
               group_sender& sender);
    ~swim_group();
    swim_group(const swim_group&) = delete;
    swim_group& operator=(const swim_group&) = delete;

    /// Runs what is due.
    void tick();

    /// Takes a message from a peer; from is the sender's proven address.
    void handle(const peer_address& from, const group_message& m);

    /// Asks a node for the members it knows.
    void contact(const peer_address& to);

    /// Changes the own state and announces it, to several members at once if leaving or left.
    void set_state(member_state s);

    /// Raises the own incarnation to at least this and announces it.
    void raise_incarnation(std::uint64_t at_least);

    /// The traffic side found the member unreachable: suspects it now, unless reported shortly before.
    void report_unreachable(const peer_address& address);

    /// The own state is left if another process took over this instance's id.
    const member& self() const { return self_; }
    bool superseded() const { return superseded_; }
    const member_table& table() const { return table_; }

    /// Whether any record changed since the last call.
    bool take_changed();

private:
    struct probe {
        std::string id;
        peer_address address;
        std::uint32_t sequence = 0;
        duration started{};
        bool asked_others = false;
        bool answered = false;
    };
    struct suspicion {
        std::uint64_t incarnation = 0;
        std::uint32_t refutation = 0;
        duration deadline{};
    };
    struct relay {
        peer_address to;
        std::uint32_t sequence = 0;
        duration deadline{};
    };

    void advance();
    void run_period();
    void start_probe();
    void ask_others();
    void finish_probe();
    void reconnect();
    void expire();
    void learn(const member& m);
    void learn_sender(const peer_address& from, const member& m);
    void learn_self(const member& m);
    void announce_self();
    void broadcast_self();
    void suspect(const member& m);
    void reply(const peer_address& to, const group_message& question);
    void take_ack(const group_message& m);
    void pass_on_ping(const peer_address& from, const group_message& m);
    void send(group_message::kind type, const peer_address& to, std::uint32_t sequence,
              const peer_address& target = {}, const member* first = nullptr);
    void send_with_self(const peer_address& to, group_message m);
    std::vector<peer_address> random_members(std::size_t count, const peer_address& except);
    double log_size() const;
    bool listening() const { return self_.state != member_state::left; }

    member self_;
    swim_options options_;
    const clock& time_;
    random_source& random_;
    group_sender& sender_;
    member_table table_;
    std::unique_ptr<table_sync> sync_;
    std::unique_ptr<update_queue> updates_;
    std::map<std::string, suspicion> suspicions_;
    std::map<std::string, duration> reported_;
    std::map<std::uint32_t, relay> relays_;
    std::vector<std::string> ping_order_;
    std::optional<probe> probe_;
    steady_time last_tick_;
    steady_time started_;
    duration active_{}; ///< Time in which this process ran.
    duration next_period_{};
    std::size_t period_ = 0;
    std::uint32_t sequence_ = 0;
    bool changed_ = true;
    bool superseded_ = false;
};

} // namespace wagtailhatch
