#pragma once

#include "include/core/clock.h"
#include "include/core/random_source.h"
#include "include/membership/membership_view.h"
#include "include/membership/swim_group.h"
#include "include/peer/peer_transport.h"
#include "include/platform/table_service.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace wagtailhatch {

class group_follower;
class instance_registration;
class instance_row_source;
class relay_cache;

struct membership_options {
    std::string id; ///< Stable name of the instance.
    std::string service;
    std::string data_centre;
    peer_address address;            ///< Where peers reach this node.
    std::vector<peer_address> seeds; ///< Asked while the table is away.
    swim_options swim;
};

/// Everything a node knows of instances: membership in its own service's group, views of followed groups, its
/// row in the table. Takes the datagram transport's handler. One thread; call tick() every 100 ms.
class membership_service {
public:
    using view_callback = std::function<void(std::shared_ptr<const membership_view>)>;

    membership_service(membership_options options, const clock& time, random_source& random,
                       datagram_transport& transport, table_service& table);
    ~membership_service();
    membership_service(const membership_service&) = delete;
    membership_service& operator=(const membership_service&) = delete;

    /// Registers in the table and joins the group; joins without the table if that takes over 2 s.
    void start();

    /// Runs what is due.
    void tick();

    /// Keeps a view of another service's group.
    void follow(const std::string& service);
    void unfollow(const std::string& service);

    /// Announces joining, ready or leaving. A node in state leaving refuses new work by itself.
    void set_state(member_state s);

    /// Announces left and writes it to the row; done runs with whether the first attempt wrote it, and later
    /// attempts are made as long as tick() is called.
    void leave(std::function<void(bool)> done);

    /// The traffic side could not reach the node: its suspicion starts now.
    void report_unreachable(const peer_address& address);

    /// Runs with each new view, within tick() or a datagram's arrival.
    void on_change(view_callback callback) { changed_ = std::move(callback); }
    std::shared_ptr<const membership_view> view() const { return view_; }

    /// The own record. Its incarnation is 0 until the node joined its group.
    const member& self() const;
    bool joined() const { return group_ != nullptr; }

    /// Another process took over this instance's id; this one must stop.
    bool superseded() const { return group_ && group_->superseded(); }

private:
    class datagram_sender;

    void join(std::uint64_t incarnation);
    void receive(const peer_address& from, const std::string& payload);
    void contact_others();
    void announce_to_seeds();
    std::vector<peer_address> contacts(const std::string& service) const;
    void publish();

    membership_options options_;
    const clock& time_;
    random_source& random_;
    datagram_transport& transport_;
    std::unique_ptr<datagram_sender> sender_;
    std::unique_ptr<instance_registration> registration_;
    std::unique_ptr<instance_row_source> rows_;
    std::unique_ptr<relay_cache> relay_;
    member initial_;
    std::uint64_t process_;
    std::uint64_t first_incarnation_ = 0;
    std::unique_ptr<swim_group> group_;
    std::map<std::string, std::unique_ptr<group_follower>> followed_;
    std::shared_ptr<const membership_view> view_;
    view_callback changed_;
    steady_time started_;
    steady_time next_contact_;
    steady_time next_announcement_;
    bool running_ = false;
    bool views_changed_ = false;
};

} // namespace wagtailhatch
