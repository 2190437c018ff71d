#include "src/peer/inbound_request.h"

#include "src/peer/peer_connection.h"

#include <utility>

namespace wagtailhatch {

inbound_request::inbound_request(std::weak_ptr<peer_connection> connection, std::uint64_t id,
                                 std::string payload, peer_address from)
    : connection_{std::move(connection)}
    , id_{id}
    , payload_{std::move(payload)}
    , from_{std::move(from)}
{
}

inbound_request::~inbound_request()
{
    const auto connection = connection_.lock();
    if (!done_ && connection) {
        connection->refuse(id_, errc::unavailable);
    }
}

void inbound_request::respond(std::string payload)
{
    if (done_) {
        return;
    }
    done_ = true;
    on_cancel_ = nullptr;
    if (const auto connection = connection_.lock()) {
        connection->respond(id_, payload);
    }
}

void inbound_request::on_cancel(std::function<void()> callback)
{
    if (cancelled_) {
        callback(); // The sender went away between the arrival and this call.
    }
    else if (!done_) {
        on_cancel_ = std::move(callback);
    }
}

void inbound_request::cancelled()
{
    if (done_) {
        return;
    }
    done_ = true;
    cancelled_ = true;
    if (const auto callback = std::exchange(on_cancel_, nullptr)) {
        callback();
    }
}

} // namespace wagtailhatch
