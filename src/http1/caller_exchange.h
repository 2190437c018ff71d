#pragma once

#include "include/core/memory_budget.h"
#include "include/http/http_message.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace wagtailhatch {

class caller_session;

/// One HTTP request of a caller and its response. Pipelined responses are sent in the order of the requests
/// of the connection, whatever the order in which they become ready. Single-threaded.
class caller_exchange {
public:
    explicit caller_exchange(std::weak_ptr<caller_session> session)
        : session_{std::move(session)}
    {
    }

    http_request request; ///< Complete, including its body.

    /// Sends a complete response. Calls after the first response are ignored.
    void respond(const http_response& response);

    /// Starts a streamed response. length: bytes of the body, if known; otherwise the body is sent in chunks.
    void start(const http_response& head, std::optional<std::uint64_t> length);
    /// Sends a part of the body of a response begun with start().
    void write(std::string_view bytes);
    /// Ends the body of a response begun with start().
    void finish();

    /// Closes the connection, so that the caller sees a started response as truncated. Resets it if the end
    /// of the connection would end the body.
    void abort();

    /// The caller has disconnected; no response can reach it.
    bool disconnected() const { return disconnected_; }

    /// Runs once if the caller disconnects before the response is complete.
    void on_disconnect(std::function<void()> callback) { disconnect_callback_ = std::move(callback); }

    /// Runs as body bytes of the response are written to the socket, with their number.
    void on_progress(std::function<void(std::size_t)> callback) { progress_callback_ = std::move(callback); }

private:
    friend class caller_session;

    void flush_session();

    std::weak_ptr<caller_session> session_;
    std::function<void()> disconnect_callback_;
    std::function<void(std::size_t)> progress_callback_;
    std::string pending_output_;                    ///< Response bytes not yet passed to the connection.
    std::size_t body_queued_ = 0;                   ///< Body bytes not yet reported as progress.
    std::optional<memory_reservation> body_memory_; ///< For the request's body.
    bool answered_ = false;
    bool streaming_ = false;
    bool chunked_ = false;
    bool ends_with_connection_ = false; ///< The body of a streamed response has neither a length nor chunks.
    bool complete_ = false;
    bool disconnected_ = false;
    bool head_request_ = false; ///< The response has no body.
    bool is_http_1_0_ = false;  ///< HTTP/1.0: a body without a length ends with the connection.
    bool close_after_ = false;
    bool close_announced_ = false;
};

} // namespace wagtailhatch
