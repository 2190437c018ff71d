#pragma once

#include "include/call/service_call.h"
#include "include/core/clock.h"
#include "include/peer/peer_messages.h"
#include "src/http1/byte_stream.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace wagtailhatch {

class peer_link;

/// Names one call on a link; chosen by the side that makes the call.
using stream_id = std::uint64_t;

class peer_link_owner {
public:
    virtual ~peer_link_owner() = default;
    /// A connection that this side dialled is up.
    virtual void on_link_open(peer_link& link) = 0;
    virtual void on_frame(peer_link& link, frame_type type, stream_id stream, std::string_view payload) = 0;
    /// The frames that had arrived on the link have been handed over.
    virtual void on_frames_end(peer_link& link) = 0;
    virtual void on_link_end(peer_link& link) = 0;
};

/// A call of a peer that has been read.
struct unstarted_call {
    stream_id stream = 0;
    service_call call;
};

/// Frames over one connection between two nodes; calls go both ways on it. One thread.
class peer_link final : public byte_stream {
public:
    peer_link(asio::ip::tcp::socket socket, peer_link_owner& owner, const clock& time, bool dialled);

    /// Uses the accepted socket.
    void start();
    void connect(const asio::ip::tcp::endpoint& to);

    void send_frame(frame_type type, stream_id stream, std::string_view payload);

    /// Closes the link and tells the owner.
    void end();

    /// Ids of calls from this side; the two sides use odd and even numbers.
    stream_id next_stream() { return last_stream_ += 2; }

    bool dialled() const { return dialled_; }
    steady_time last_heard() const { return last_heard_; }
    steady_time started() const { return started_; }

    peer_address peer; ///< Empty before its hello.

    /// Calls that this side made.
    std::unordered_map<stream_id, std::shared_ptr<reply_sink>> calls;
    /// Calls that the peer made and that are not begun: its cancellation may be among the frames that follow.
    std::vector<unstarted_call> unstarted;
    /// Calls that the peer made and that are begun.
    std::unordered_map<stream_id, std::shared_ptr<call_handle>> incoming;

private:
    void on_bytes(std::string_view bytes) override;
    void on_read_end() override { owner_.on_frames_end(*this); }
    void on_sent(std::size_t) override {}
    void on_closed(const std::error_code& reason) override;

    peer_link_owner& owner_;
    const clock& time_;
    std::string partial_;    ///< Begin of a frame that has not arrived whole.
    std::size_t needed_ = 0; ///< Bytes of the frame that begins in partial_.
    stream_id last_stream_;
    steady_time last_heard_{};
    steady_time started_{};
    bool dialled_;
    bool ended_ = false;
};

} // namespace wagtailhatch
