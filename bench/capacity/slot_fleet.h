#pragma once

#include "include/ownership/slot_service.h"
#include "tests/config/fake_platform.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace wagtailhatch::bench {

struct slot_counts {
    std::uint64_t messages = 0; ///< Requests and answers.
    std::uint64_t bytes = 0;    ///< With envelopes, each message once.
};

/// Slot services of one data centre in simulated time, with messages in memory and a table without faults.
class slot_fleet {
public:
    slot_fleet(std::size_t nodes, std::uint32_t slots, std::size_t workspaces, std::uint64_t seed);

    /// Takes tokens and sends orders at a steady rate over all nodes, for some simulated seconds.
    void run(double seconds, double takes_a_second, double orders_a_second);

    /// Ends a node and starts it again under the next incarnation.
    void restart(std::size_t i);

    const slot_counts& all() const { return all_; }
    /// Messages of the slot channel: pair batches, rows and maps.
    const slot_counts& slot_channel() const { return slot_; }
    std::uint64_t granted() const { return granted_; }
    std::uint64_t answered() const { return answered_; }
    std::uint64_t table_writes() const { return table_writes_; }
    void reset_counts();

private:
    struct node final : message_sender {
        node(slot_fleet& f, node_ref s, std::uint64_t seed);
        void request(const peer_address& to, channel c, std::string payload, duration timeout,
                     std::function<void(peer_reply)> done) override;

        slot_fleet& fleet;
        node_ref self;
        random_source random;
        testing::fake_platform table;
        std::unique_ptr<slot_service> service;
        bool alive = true;
    };

    void start(std::size_t i, std::uint64_t incarnation);
    void share_members();
    void tick();
    void count(channel c, std::size_t payload);

    testing::event_queue events_;
    testing::platform_content content_;
    random_source random_;
    std::uint32_t slots_;
    std::shared_ptr<configuration> config_;
    std::vector<std::string> workspaces_;
    std::vector<std::shared_ptr<node>> nodes_;
    std::vector<std::shared_ptr<node>> ended_; ///< Late events still name them.
    slot_counts all_;
    slot_counts slot_;
    std::uint64_t granted_ = 0;
    std::uint64_t answered_ = 0;
    std::uint64_t table_writes_ = 0;
    std::uint64_t next_order_ = 0;
};

} // namespace wagtailhatch::bench
