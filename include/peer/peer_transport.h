#pragma once

#include "include/core/clock.h"
#include "include/core/result.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace wagtailhatch {

/// IP number and port, as "127.0.0.1:4000" or "[::1]:4000".
using peer_address = std::string;

/// Which module a message between nodes is for.
enum class channel : std::uint8_t { call, quota, claim, slot, config, group };

/// Whether the other side may have received a request that failed.
enum class delivery : std::uint8_t { not_sent, maybe_sent };

struct peer_failure {
    wagtailhatch::error reason;
    delivery sent = delivery::maybe_sent;
};

/// Answer of a peer, or how the request failed.
struct peer_reply {
    bool ok = false;
    std::string payload;  ///< Valid if ok.
    peer_failure failure; ///< Valid if !ok.
};

using request_id = std::uint64_t;

/// A request from a peer. Keep it to answer later; dropping it unanswered closes the request as failed.
class peer_request {
public:
    virtual ~peer_request() = default;
    virtual const std::string& payload() const = 0;
    virtual const peer_address& from() const = 0;

    /// Sends the answer. The first call counts.
    virtual void respond(std::string payload) = 0;

    /// Runs when the sender cancelled or its connection was lost. At most once; not after respond().
    virtual void on_cancel(std::function<void()> callback) = 0;
};

/// Authenticated, encrypted messages between nodes: one multiplexed connection for each pair.
/// One thread: all calls and completions run on the event loop that owns it.
class peer_transport {
public:
    using completion = std::function<void(peer_reply)>;
    using handler = std::function<void(std::shared_ptr<peer_request>)>;

    virtual ~peer_transport() = default;

    /// Sends payload and completes exactly once: with the whole answer, or a failure at the latest after
    /// timeout.
    virtual request_id request(const peer_address& to, channel c, std::string payload, duration timeout,
                               completion done) = 0;

    /// Stops waiting and tells the peer. The completion runs with errc::cancelled.
    virtual void cancel(request_id id) = 0;

    /// Sets who answers requests on a channel.
    virtual void set_handler(channel c, handler h) = 0;

    /// Runs when a connection to a peer fails (refused, reset, silent).
    virtual void on_peer_lost(std::function<void(const peer_address&)> callback) = 0;

    /// Address that peers reach this node at, with the port that the system chose.
    virtual peer_address local_address() const = 0;

    /// Stops accepting and closes connections once idle; runs done when all are closed.
    virtual void shutdown(std::function<void()> done) = 0;
};

/// Authenticated datagrams between nodes (membership). Lost, duplicated and reordered datagrams are normal;
/// replayed and forged ones are dropped. At most 1,200 bytes of payload.
class datagram_transport {
public:
    virtual ~datagram_transport() = default;
    virtual void send(const peer_address& to, std::string payload) = 0;
    virtual void set_handler(std::function<void(const peer_address& from, const std::string& payload)> h) = 0;
    virtual peer_address local_address() const = 0;
    virtual void close() = 0;
};

} // namespace wagtailhatch
