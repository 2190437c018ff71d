#pragma once

#include "include/peer/peer_transport.h"

#include <functional>
#include <memory>
#include <string>

namespace wagtailhatch {

class peer_connection;

/// A request that arrived over a connection; answered at most once.
class inbound_request final : public peer_request {
public:
    inbound_request(std::weak_ptr<peer_connection> connection, std::uint64_t id, std::string payload,
                    peer_address from);
    ~inbound_request() override;
    inbound_request(const inbound_request&) = delete;
    inbound_request& operator=(const inbound_request&) = delete;

    const std::string& payload() const override { return payload_; }
    const peer_address& from() const override { return from_; }
    void respond(std::string payload) override;
    void on_cancel(std::function<void()> callback) override;

    /// The sender cancelled or its connection was lost.
    void cancelled();

private:
    std::weak_ptr<peer_connection> connection_;
    std::uint64_t id_;
    std::string payload_;
    peer_address from_;
    std::function<void()> on_cancel_;
    bool done_ = false;
    bool cancelled_ = false;
};

} // namespace wagtailhatch
