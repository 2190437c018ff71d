#pragma once

#include "include/call/service_call.h"
#include "include/core/clock.h"
#include "include/core/memory_budget.h"
#include "include/peer/peer_messages.h"
#include "src/http1/byte_stream.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace wagtailhatch {

class peer_link;

/// Identifies a call on a link; assigned by the side that makes the call.
using stream_id = std::uint64_t;

/// Callbacks from a link to its owner.
class peer_link_owner {
public:
    virtual ~peer_link_owner() = default;
    /// A connection dialled by this side is established.
    virtual void on_link_open(peer_link& link) = 0;
    virtual void on_frame(peer_link& link, frame_type type, stream_id stream, std::string_view payload) = 0;
    /// All frames received so far on the link have been passed to on_frame().
    virtual void on_frames_end(peer_link& link) = 0;
    virtual void on_link_end(peer_link& link) = 0;
    /// A call was skipped, because there is no memory for it.
    virtual void on_call_skipped(peer_link& link, stream_id stream) = 0;
    virtual body_budgets& body_memory() = 0;
};

/// A call made to a peer that has not ended.
struct outgoing_call_state {
    std::shared_ptr<reply_sink> sink;
    std::uint64_t frame_end = 0; ///< Value of byte_stream::written() once its frame is written completely.
};

/// A call received from a peer that has not been started.
struct unstarted_call {
    stream_id stream = 0;
    service_call call;
};

/// Logs that a call ends before it was started.
void log_unstarted(const unstarted_call& unstarted);

/// Framed, multiplexed connection between two nodes that carries calls in both directions. Single-threaded.
class peer_link final : public byte_stream {
public:
    peer_link(asio::ip::tcp::socket socket, peer_link_owner& owner, const clock& time, bool dialled);

    /// Starts reading from the connected socket.
    void start();
    void connect(const asio::ip::tcp::endpoint& to);

    void send_frame(frame_type type, stream_id stream, std::string_view payload);

    /// As send_frame(), without copying the payload.
    void send_large_frame(frame_type type, stream_id stream, std::string payload);

    /// Closes the link and notifies the owner by on_link_end().
    void end();

    /// Returns the id for the next call of this side. One side uses odd ids and the other even ones, so that
    /// they never collide.
    stream_id next_stream() { return last_stream_ += 2; }

    /// Takes over the memory reserved for the frame passed to on_frame(); nothing if the frame is small.
    std::optional<memory_reservation> take_frame_memory() { return std::exchange(frame_memory_, {}); }

    bool dialled() const { return dialled_; }
    steady_time last_received() const { return last_received_; }
    steady_time started() const { return started_; }

    bool refused = false; ///< The link was dialled and nothing listens on the peer's address.

    peer_address peer; ///< Address of the peer; on an accepted link it is empty until its hello.

    store_eras eras_sent;     ///< To the peer.
    store_eras eras_received; ///< From the peer.

    /// Calls made by this side.
    std::unordered_map<stream_id, outgoing_call_state> calls;
    /// Calls of the peer that are not started yet: a following frame that has already arrived may cancel
    /// them.
    std::vector<unstarted_call> unstarted;
    /// Calls of the peer that have been started.
    std::unordered_map<stream_id, std::shared_ptr<call_handle>> incoming;

private:
    bool reserve_for_frame(frame_type type, std::size_t size);
    void skip(std::string_view& bytes);
    void on_bytes(std::string_view bytes) override;
    void on_read_end() override { owner_.on_frames_end(*this); }
    void on_sent(std::size_t) override {}
    void on_closed(const std::error_code& reason) override;

    peer_link_owner& owner_;
    const clock& time_;
    std::string partial_;     ///< Received part of an incomplete frame.
    std::size_t needed_ = 0;  ///< Size that partial_ must reach before parsing can continue.
    std::size_t to_skip_ = 0; ///< Bytes left of a call that is skipped.
    std::optional<memory_reservation> frame_memory_; ///< For the large frame being received.
    stream_id last_stream_;
    steady_time last_received_{};
    steady_time started_{};
    bool dialled_;
    bool ended_ = false;
};

} // namespace wagtailhatch
