#pragma once

#include "include/config/config_state.h"
#include "include/core/clock.h"
#include "include/core/random_source.h"
#include "include/peer/peer_transport.h"
#include "include/platform/table_service.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailhatch {

/// A node that can be asked for its configuration.
struct config_peer {
    std::string id;
    std::string data_centre;
    peer_address address;

    bool operator==(const config_peer&) const = default;
};

/// Sends a request on channel::config and completes exactly once, never inside the call.
using config_send = std::function<void(const peer_address& to, std::string payload, duration timeout,
                                       std::function<void(peer_reply)> done)>;

struct config_sync_options {
    config_peer self;
    std::vector<peer_address> seeds; ///< Asked while no other peer is known.
    duration head_poll = std::chrono::seconds{1};
    duration compare = std::chrono::seconds{1};
    duration request_timeout = std::chrono::seconds{1};
    duration reader_memory = std::chrono::seconds{10}; ///< How long a reported read suppresses lower ranks.
    duration max_backoff = std::chrono::seconds{30};   ///< Of head reads that failed, unless ranked highest.
};

struct config_sync_status {
    std::uint64_t version = 0;            ///< Held and passed on.
    std::uint64_t published = 0;          ///< In force on this node.
    bool reader = false;                  ///< Reads the head itself.
    bool stale = false;                   ///< max_staleness has passed.
    std::optional<duration> platform_age; ///< Since the platform confirmed the held version; nothing: never.
    std::string problem;                  ///< Why the held version is not in force on this node.
    std::uint64_t platform_reads = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
};

/// Spreads the accepted configuration between nodes (section 6 of the design). Pure state machine: time moves
/// only by tick(). One thread: the control thread. Completions that arrive after destruction are ignored.
class config_sync {
public:
    using publish_callback = std::function<void(std::shared_ptr<const configuration>)>;
    using stale_callback = std::function<void(bool stale)>;

    config_sync(config_sync_options options, const clock& time, random_source& random, config_send send,
                table_service& table, object_store& objects, publish_callback publish);
    ~config_sync();
    config_sync(const config_sync&) = delete;
    config_sync& operator=(const config_sync&) = delete;

    /// Runs when max_staleness passes and when contact is back. Set before start().
    void on_stale(stale_callback callback);

    /// Asks three peers and the table. The first configuration is published when the table or all of them
    /// have answered, so that a single outdated peer does not decide.
    void start();

    /// Runs what is due. Call about every 100 ms.
    void tick();

    /// The live nodes that this node knows, of any data centre, without itself.
    void set_peers(std::vector<config_peer> peers);

    /// Answers a request of a peer on channel::config; nothing if it is malformed.
    std::optional<std::string> on_request(std::string_view payload);

    std::uint64_t version() const;
    const config_state& state() const;
    config_sync_status status() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace wagtailhatch
