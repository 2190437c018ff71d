#pragma once

#include "include/ownership/slot_service.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace wagtailhatch::sim {

using true_time = std::int64_t; ///< Nanoseconds.
constexpr true_time ms = 1'000'000;

/// Mechanisms that a test switches off, to show that the oracles notice.
struct weakness {
    bool partner_not_awaited = false;   ///< The owner takes every batch as acknowledged at once.
    bool partner_not_sealed = false;    ///< The partner's refusals are read as acknowledgements.
    bool conditions_ignored = false;    ///< The table writes whatever the condition.
    bool suspicion_is_evidence = false; ///< A member that does not answer counts as ended.
    bool confirmations_forged = false;  ///< Every data centre seems to have adopted any new division.
    bool expiry_left_out = false;       ///< Holders' clocks stand almost still.
};

struct settings {
    std::uint64_t seed = 1;
    int data_centres = 2;
    int nodes = 3; ///< In each data centre.
    std::uint32_t slots = 2;
    double rate = 50;
    double burst = 20;
    bool skewed_clocks = true; ///< Clock rates between 0.7 and 1.0 of true time.
    bool load = false; ///< Takes at twice the rate and repeated orders, at random nodes, all the time.
    weakness weak;
};

class world;

/// A node's clock: runs at its own speed.
class node_clock final : public clock {
public:
    node_clock(const world& w, double speed)
        : world_{w}
        , speed_{speed}
    {
    }
    steady_time now() const override;
    wall_time wall_now() const override { return {}; }
    true_time to_true(duration d) const
    {
        return static_cast<true_time>(static_cast<double>(d.count()) / speed_);
    }

private:
    const world& world_;
    double speed_;
};

/// One life of a node.
struct node final : message_sender, table_service {
    node(world& w, int index, std::uint64_t incarnation);
    void request(const peer_address& to, channel c, std::string payload, duration timeout,
                 std::function<void(peer_reply)> done) override;
    void read(const std::string& key, std::function<void(result<table_row>)> done) override;
    void list(const std::string& prefix, std::function<void(result<std::vector<table_row>>)> done) override;
    void write(const std::string& key, const std::string& value, const write_condition& condition,
               std::function<void(result<std::string>)> done) override;

    world& owner;
    int index;
    std::string data_centre;
    node_ref self;
    node_clock time;
    random_source random;
    bool alive = true;
    bool paused = false;
    bool leaving = false;
    std::deque<std::function<void()>> held; ///< Events of a paused node.
    std::shared_ptr<const configuration> config;
    std::unique_ptr<slot_service> service;
};

struct order_record {
    std::string key;
    std::shared_ptr<const node> entry; ///< The life of the node that the caller is connected to.
    int answers = 0;
    int runs = 0;
    outcome what = outcome::unknown;
};

/// Nodes, network, table and true time of one test; single-threaded and repeatable from its seed.
class world {
public:
    explicit world(settings s);
    ~world();
    world(const world&) = delete;
    world& operator=(const world&) = delete;

    void advance(true_time d);
    true_time now() const { return now_; }
    void after(true_time d, std::function<void()> f);
    /// Runs f on a node's event loop: later while it is paused, never once it has ended.
    void at_node(const std::shared_ptr<node>& n, true_time d, std::function<void()> f);

    int count() const { return options.data_centres * options.nodes; }
    /// Owner and partner of a slot by the table; node 0 where there is none.
    std::pair<int, int> pair_of(int which) const;
    node& at(int i) { return *nodes_[static_cast<std::size_t>(i % count())]; }
    std::shared_ptr<node> find(const peer_address& a);
    bool reachable(int from, int to) const { return !cut_.contains({from, to}); }

    void take(int node_index, int how_many);
    /// Sends a key from a node; a key sent before goes out as a repeat.
    void order(int node_index, int key);
    void pause(int i) { at(i).paused = true; }
    void wake(int i);
    void crash(int i) { at(i).alive = false; }
    void restart(int i);
    void cut(int from, int to) { cut_.insert({from % count(), to % count()}); }
    void cut_data_centre(int dc);
    void heal();
    void stop(int i);
    /// A new configuration that reaches each node after a time of its own.
    void configure(double rate, const std::vector<double>& weights);
    void configure_home(const std::string& home);

    /// Ends the load and all faults, starts what is down, and waits.
    void settle();
    /// Whether new takes and new orders go through.
    bool serves();

    /// First broken promise, in words; empty if none.
    std::string violation() const;
    /// Orders that were never answered though their entry node lived on.
    int unanswered() const;

    settings options;
    bool table_up = true;
    bool table_slow = false;
    bool lose_write_answer = false;
    double loss = 0;
    double duplicates = 0;
    double delays = 0;
    std::uint64_t messages = 0;
    std::uint64_t message_bytes = 0;
    std::uint64_t table_reads = 0;
    std::uint64_t table_writes = 0;
    std::uint64_t granted = 0;
    std::uint64_t refused = 0;
    std::map<std::string, order_record> orders; ///< By request.
    random_source random;

private:
    friend struct node;
    struct event {
        true_time at;
        std::uint64_t number;
        std::function<void()> run;
        bool operator>(const event& e) const { return at != e.at ? at > e.at : number > e.number; }
    };
    struct stored_row {
        std::string value;
        std::uint64_t version = 0;
    };
    struct exchange;
    void start(int i, std::uint64_t incarnation);
    void ticking(const std::shared_ptr<node>& n);
    void update_members(node& n);
    void runner(node& n, const run_once_order& o, const std::function<void(run_once_result)>& done);
    void deliver(const std::shared_ptr<exchange>& e, int times);
    std::string disguise(const exchange& e, std::string answer) const;
    true_time table_latency();
    bool platform_up(const node& n) const { return table_up && !cut_off_.contains(n.index / options.nodes); }
    void publish();
    void offer_load();
    void note_rate();
    std::string rate_violation() const;

    true_time now_ = 0;
    std::uint64_t next_event_ = 0;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::vector<std::shared_ptr<node>> nodes_;
    std::vector<std::shared_ptr<node>> ended_; ///< Kept, so that late callbacks find them.
    std::set<std::pair<int, int>> cut_;
    std::set<int> cut_off_;
    std::map<std::string, stored_row> table_;
    configuration config_;
    std::map<std::string, int> runs_by_key_;
    std::set<std::string> sent_keys_;
    std::vector<true_time> spent_;
    std::vector<std::pair<true_time, double>> rates_; ///< Highest rate that any node applies from then on.
    double highest_burst_ = 0;
    std::string violation_;
};

} // namespace wagtailhatch::sim
