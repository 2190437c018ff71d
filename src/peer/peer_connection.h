#pragma once

#include "include/core/clock.h"
#include "include/peer/peer_transport.h"
#include "src/peer/frame_stream.h"

#include <asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

namespace wagtailhatch {

class inbound_request;

/// How a process names itself to its peers.
struct peer_identity {
    peer_address address;
    std::uint64_t process = 0; ///< Random; differs after a restart under the same address.
};

/// Requests and answers over one connection. One thread.
class peer_connection final : public frame_stream {
public:
    /// Who owns connections.
    class owner {
    public:
        virtual ~owner() = default;
        virtual void connection_ready(const std::shared_ptr<peer_connection>& connection) = 0;
        virtual void connection_closed(const std::shared_ptr<peer_connection>& connection, bool planned) = 0;
        virtual void request_finished(request_id id) = 0;
        virtual void request_received(channel c, std::shared_ptr<peer_request> request) = 0;
    };

    /// peer is empty for an accepted connection, until its hello.
    peer_connection(asio::io_context& io, asio::ssl::context& tls, asio::ip::tcp::socket socket, owner& o,
                    const clock& time, peer_identity self, peer_address peer);

    bool dialed() const { return dialed_; }
    bool ready() const { return ready_; }
    /// New requests may be sent.
    bool usable() const { return !closed() && !going_away_ && !peer_going_away_; }
    const peer_address& peer() const { return peer_; }
    std::uint64_t peer_process() const { return peer_process_; }

    void request(request_id id, channel c, const std::string& payload, duration timeout,
                 peer_transport::completion done);
    void cancel(request_id id);
    void respond(std::uint64_t id, const std::string& payload);
    void refuse(std::uint64_t id, errc reason);

    /// Starts no more requests; closes when both sides are done.
    void go_away();

    /// Once per ping interval.
    void tick(duration idle_timeout);

    /// The owner ends: closes without running completions.
    void detach();

private:
    struct outgoing {
        peer_transport::completion done;
        std::unique_ptr<asio::steady_timer> timer;
        bool written = false;
    };

    std::string on_open() override;
    void on_frame(frame f) override;
    void on_writing(std::uint64_t tag) override;
    void on_write_idle() override { close_if_done(); }
    void on_closed(const error& reason) override;

    void receive_hello(const frame& f);
    void receive_request(frame f);
    void receive_cancel(std::uint64_t id);
    void finish(request_id id, peer_reply reply);
    void expire(request_id id, errc reason, bool later);
    bool idle() const { return outgoing_.empty() && inbound_.empty() && write_idle(); }
    void close_if_done();
    std::shared_ptr<peer_connection> self();

    owner* owner_;
    const clock& time_;
    peer_identity self_;
    peer_address peer_;
    std::uint64_t peer_process_ = 0;
    std::unordered_map<request_id, outgoing> outgoing_;
    std::unordered_map<std::uint64_t, std::weak_ptr<inbound_request>> inbound_;
    steady_time last_use_;
    int unanswered_pings_ = 0;
    bool dialed_;
    bool ready_ = false;
    bool going_away_ = false;
    bool peer_going_away_ = false;
};

} // namespace wagtailhatch
