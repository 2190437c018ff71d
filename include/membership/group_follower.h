#pragma once

#include "include/core/clock.h"
#include "include/core/random_source.h"
#include "include/membership/group_message.h"
#include "include/membership/member_table.h"

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace wagtailhatch {

class table_sync;

/// View of a group that this node does not belong to: about once a second it compares tables with one member.
/// State machine without sockets or threads.
class group_follower {
public:
    group_follower(std::string service, const clock& time, random_source& random, group_sender& sender);
    ~group_follower();
    group_follower(const group_follower&) = delete;
    group_follower& operator=(const group_follower&) = delete;

    /// Runs what is due. contacts are nodes to ask while no member answers.
    void tick(const std::vector<peer_address>& contacts);

    /// Takes an answer, or answers another node's digest.
    void handle(const peer_address& from, const group_message& m);

    /// The traffic side found the member unreachable: suspects it here and tells the group, which decides.
    void report_unreachable(const peer_address& address);

    const member_table& table() const { return table_; }

    /// Whether any record changed since the last call.
    bool take_changed();

private:
    void ask(const std::vector<peer_address>& contacts);
    peer_address choose(const std::vector<peer_address>& contacts);
    void send(const peer_address& to, group_message m);
    bool learn(const member& m);
    void expire();

    std::string service_;
    const clock& time_;
    random_source& random_;
    group_sender& sender_;
    member_table table_;
    std::unique_ptr<table_sync> sync_;
    std::map<std::string, steady_time> suspected_; ///< By this node, until then.
    steady_time next_question_;
    std::size_t silent_rounds_ = 0;
    bool changed_ = true;
};

} // namespace wagtailhatch
