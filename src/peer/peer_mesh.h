#pragma once

#include "include/call/service_call.h"
#include "include/core/clock.h"
#include "include/core/random_source.h"
#include "include/core/result.h"
#include "include/peer/peer_messages.h"
#include "src/peer/peer_link.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace wagtailhatch {

/// Callbacks from the mesh to the node.
class peer_mesh_events {
public:
    virtual ~peer_mesh_events() = default;

    /// A peer sent its status, either in its hello or in a later status message.
    virtual void on_peer_status(const node_status& status) = 0;

    /// The last link to the peer was closed.
    virtual void on_peer_lost(const peer_address& address) = 0;

    /// A peer calls this node's target. Returns the handle of the started call.
    virtual std::shared_ptr<call_handle> on_peer_call(service_call call,
                                                      std::shared_ptr<reply_sink> sink) = 0;

    virtual void on_peer_config(config_message message) = 0;

    /// Returns the newest configuration, to be sent to a peer on request. Version 0 means none yet.
    virtual config_message newest_config() const = 0;
    virtual void on_peer_crash(const crash_report& report) = 0;

    /// The store has just answered the peer.
    virtual void on_peer_store_contact(const peer_address& address) = 0;

    /// A peer has heard of this era of the store.
    virtual void on_peer_store_era(std::uint64_t era) = 0;

    /// A peer requests tokens of a workspace's rate.
    virtual rate_grant on_peer_rate_request(const rate_request& request) = 0;
    virtual void on_peer_rate_grant(const rate_grant& grant) = 0;

    /// Returns this node's status.
    virtual node_status own_status() = 0;

    /// Returns the eras of the store that this node's messages refer to.
    virtual store_eras own_store_eras() const = 0;

    /// A peer's hello listed these nodes.
    virtual void on_peers_discovered(const std::vector<peer_address>& addresses) = 0;
};

/// State of the connection to a known node.
struct contact_state {
    peer_address address;
    bool linked = false;
    bool suspect = false; ///< As peer_mesh::suspect().
    bool refused = false; ///< Not linked, and nothing listened on its address at the last dial.
};

/// Full mesh of links between the nodes. At most one link of each pair of nodes is used for new calls,
/// whichever side dialled it. Single-threaded.
class peer_mesh final : private peer_link_owner {
public:
    peer_mesh(asio::io_context& io, const clock& time, random_source& random, asio::ip::tcp::endpoint listen,
              body_budgets& body_memory, peer_mesh_events& events);
    ~peer_mesh() override;
    peer_mesh(const peer_mesh&) = delete;
    peer_mesh& operator=(const peer_mesh&) = delete;

    /// Starts listening for peers and dialling them. Errors: errc::unavailable (cannot listen).
    result<bool> start();

    /// Adds nodes to keep links to; invalid addresses and this node's own are ignored.
    void add_peers(const std::vector<peer_address>& addresses);

    /// Stops dialling a node that was removed permanently.
    void forget(const peer_address& address);

    /// Sends this node's status to all peers now.
    void publish_status();

    /// Sends this node's status soon, at a limited rate: repeated calls are combined into one message.
    void schedule_publish();

    void publish_crash(const crash_report& report);

    /// Tells a peer that the store has just answered this node; does nothing without a link to it.
    void send_store_contact(const peer_address& to);

    /// Sends a request for tokens; false without a link to the peer.
    bool request_rate(const peer_address& allocator, const rate_request& request);

    /// Requests the configuration from a peer; does nothing without a link to it.
    void request_config(const peer_address& from);

    bool linked(const peer_address& address) const { return links_.count(address) != 0; }

    /// Returns whether the peer has missed two of its status messages: it may be unreachable although its
    /// link is still open.
    bool suspect(const peer_address& address) const;
    std::size_t link_count() const { return links_.size(); }

    /// Returns this node and the peers with a link.
    std::vector<peer_address> known() const;

    /// Number of other nodes known, with or without a link.
    std::size_t contact_count() const { return contacts_.size(); }

    /// State of the connection to each known node.
    std::vector<contact_state> contacts() const;

    /// Longest time after which suspect() tells that a peer is out of reach, from the last bytes of it.
    duration suspect_time() const;

    /// Calls the target of another node. Requires linked(). Never calls the sink before it returns.
    std::shared_ptr<call_handle> call(const peer_address& to, const service_call& call,
                                      std::shared_ptr<reply_sink> sink);

    /// Number of calls in progress in both directions.
    std::size_t calls_in_progress() const;
    void stop();

private:
    /// Dialling state of a known node.
    struct contact {
        steady_time next_dial{};
        duration backoff{};
        bool dialling = false;
        bool refused = false; ///< Nothing listened on its address at the last dial.
    };

    void on_frame(peer_link& link, frame_type type, stream_id stream, std::string_view payload) override;
    void on_frames_end(peer_link& link) override;
    void on_link_open(peer_link& link) override;
    void on_link_end(peer_link& link) override;
    void on_call_skipped(peer_link& link, stream_id stream) override;
    body_budgets& body_memory() override { return body_memory_; }

    /// Whether the peer of this link has missed two of its status messages.
    bool is_overdue(const peer_link& link) const;
    void accept();
    void accept_later();
    void tick();
    void dial_missing(steady_time now);
    void dial(const peer_address& address, contact& c);
    void close_unresponsive(steady_time now);
    void publish_if_due(steady_time now);
    duration publish_interval() const;
    duration min_publish_gap() const;
    void send_hello(peer_link& link);
    static void send_store_eras(peer_link& link, const store_eras& eras);
    void on_hello(peer_link& link, std::string_view payload);
    void choose_link(const std::shared_ptr<peer_link>& link);
    void close_redundant(peer_link& link);
    void on_status(peer_link& link, std::string_view payload);
    /// Passes on a status, together with what its link has told before.
    void pass_status(const peer_link& link, node_status& status);
    void on_call(peer_link& link, stream_id stream, std::string_view payload);
    static void on_cancel(peer_link& link, stream_id stream);
    void on_answer(peer_link& link, frame_type type, stream_id stream, std::string_view payload);

    asio::io_context& io_;
    const clock& time_;
    random_source& random_;
    asio::ip::tcp::endpoint listen_;
    peer_address self_;
    body_budgets& body_memory_;
    peer_mesh_events& events_;
    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer accept_timer_;
    asio::steady_timer tick_timer_;
    std::map<peer_address, contact> contacts_;
    std::map<peer_address, std::shared_ptr<peer_link>> links_; ///< The link of each peer that new calls use.
    std::set<std::shared_ptr<peer_link>> all_links_;
    asio::steady_timer publish_timer_;
    bool publish_scheduled_ = false;
    steady_time last_publish_{};
    bool stopped_ = false;
};

} // namespace wagtailhatch
