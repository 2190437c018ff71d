#pragma once

#include "include/config/config_store.h"
#include "include/config/config_sync.h"
#include "tests/config/fake_platform.h"

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace wagtailhatch::bench {

/// A base file of the given size; revision changes one rate.
std::string capacity_base(std::size_t services, std::size_t workspaces, std::size_t data_centres,
                          std::uint64_t revision);

/// Configuration of many nodes in simulated time with peers in memory and one platform, without faults.
class config_fleet {
public:
    config_fleet(std::size_t nodes, std::size_t data_centres, std::uint64_t seed);

    /// Puts the next version in force on the platform.
    void accept();
    void run_for(duration d) { events_.run_for(d); }
    /// Simulated seconds since an arbitrary start.
    double now() { return std::chrono::duration<double>(events_.time().now().time_since_epoch()).count(); }

    /// Simulated seconds until every node has published the version; at most 60.
    double seconds_to_reach_all();

    /// Forgets what was counted.
    void reset_counts();
    /// Messages and answers with their envelopes, sent and received, over all nodes.
    double bytes() const { return static_cast<double>(bytes_); }
    double platform_reads() const { return static_cast<double>(content_.reads); }
    double accept_writes() const { return static_cast<double>(accept_writes_); }

private:
    struct node {
        config_peer self;
        random_source random{0};
        std::unique_ptr<testing::fake_platform> platform;
        std::unique_ptr<config_sync> sync;
        std::uint64_t published = 0;
    };

    void tick();
    void deliver(const peer_address& to, std::string payload, duration timeout,
                 std::function<void(peer_reply)> done);
    void count(std::size_t payload);

    random_source random_;
    std::size_t data_centres_;
    testing::event_queue events_;
    testing::platform_content content_;
    std::vector<node> nodes_;
    std::unordered_map<std::string, std::size_t> by_address_;
    std::uint64_t accepted_ = 0;
    std::uint64_t bytes_ = 0;
    std::uint64_t accept_writes_ = 0;
};

} // namespace wagtailhatch::bench
