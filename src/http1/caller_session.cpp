#include "src/http1/caller_session.h"

#include "include/observe/logging.h"
#include "src/http1/message_format.h"
#include "src/http1/socket_options.h"

#include <utility>

namespace wagtailhatch {
namespace {

using namespace std::chrono_literals;

// Pipelined requests read ahead on one connection before reading pauses.
constexpr std::size_t max_pipelined_requests = 32;
// A caller that acknowledges neither data nor keep-alive probes for this long counts as disconnected.
constexpr auto caller_unresponsive_timeout = 3000ms;
// Time for the caller to read the last response and close the connection.
constexpr duration linger_time = 1s;
// Callers reuse a connection for a fraction of the idle timeout; the margin prevents the node from closing
// first.
constexpr duration idle_close_margin = 1s;

bool wants_continue(const message_head& head)
{
    const auto* expect = find_header(head.headers, "Expect");
    return expect != nullptr && equal_ignoring_case(*expect, "100-continue");
}

} // namespace

void caller_exchange::flush_session()
{
    if (const auto session = session_.lock()) {
        session->flush();
    }
}

void caller_exchange::respond(const http_response& response)
{
    if (std::exchange(answered_, true) || disconnected_) {
        return;
    }
    const auto session = session_.lock();
    if (!session) {
        return;
    }
    const auto size = response.body.size();
    close_announced_ = session->closes_with(*this);
    pending_output_ = format_response_head(response.status, response.headers, {size, close_announced_});
    if (!head_request_) {
        pending_output_ += response.body;
        body_queued_ = size;
    }
    complete_ = true;
    session->flush();
}

void caller_exchange::start(const http_response& head, std::optional<std::uint64_t> length)
{
    if (std::exchange(answered_, true) || disconnected_) {
        return;
    }
    const auto session = session_.lock();
    if (!session) {
        return;
    }
    streaming_ = true;
    chunked_ = !length && !is_http_1_0_;
    ends_with_connection_ = !length && is_http_1_0_;
    close_announced_ = session->closes_with(*this);
    pending_output_ =
        format_response_head(head.status, head.headers, {length, close_announced_, ends_with_connection_});
    session->flush();
}

void caller_exchange::write(std::string_view bytes)
{
    if (!streaming_ || complete_ || disconnected_ || head_request_ || bytes.empty()) {
        return;
    }
    body_queued_ += bytes.size();
    if (chunked_) {
        pending_output_ += format_chunk(bytes);
    }
    else {
        pending_output_ += bytes;
    }
    flush_session();
}

void caller_exchange::finish()
{
    if (!streaming_ || complete_ || disconnected_) {
        return;
    }
    if (chunked_ && !head_request_) {
        pending_output_ += last_chunk;
    }
    complete_ = true;
    flush_session();
}

void caller_exchange::abort()
{
    if (const auto session = session_.lock()) {
        session->end();
    }
}

caller_session::caller_session(asio::ip::tcp::socket socket, caller_session_owner& owner)
    : byte_stream{std::move(socket)}
    , owner_{owner}
    , parser_{message_role::request, *this, owner.limits().max_header_bytes}
{
}

void caller_session::start()
{
    configure_slow_reader_socket(socket(), caller_unresponsive_timeout);
    last_activity_ = owner_.time().now();
    start_reading();
}

void caller_session::on_bytes(std::string_view bytes)
{
    if (no_more_requests_ || lingering_) {
        return;
    }
    const auto keep = shared_from_this();
    if (idle()) {
        last_activity_ = owner_.time().now();
    }
    parse(bytes);
    if (exchanges_.size() >= max_pipelined_requests) {
        pause_reading();
    }
}

void caller_session::parse(std::string_view bytes)
{
    while (!bytes.empty() && is_open() && !no_more_requests_) {
        const auto [status, consumed] = parser_.parse(bytes);
        bytes.remove_prefix(consumed);
        if (no_more_requests_) {
            return;
        }
        switch (status) {
        case parse_status::need_more:
            return;
        case parse_status::complete:
            request_complete();
            break;
        case parse_status::malformed:
            reject(400);
            return;
        case parse_status::head_too_large:
            reject(431);
            return;
        }
    }
}

void caller_session::on_head(message_head head)
{
    current_ = std::make_shared<caller_exchange>(
        std::weak_ptr<caller_session>{std::static_pointer_cast<caller_session>(shared_from_this())});
    current_->head_request_ = head.method == "HEAD";
    current_->is_http_1_0_ = head.minor_version == 0;
    // HTTP/1.0 callers cannot tell the end of a body without a length from the end of the connection.
    current_->close_after_ = !head.keep_alive || current_->is_http_1_0_;
    const bool ask_for_body = wants_continue(head);
    current_->request = {std::move(head.method), std::move(head.target), std::move(head.headers), {}};
    if (head.content_length.value_or(0) > owner_.limits().max_body_bytes) {
        reject(413);
        return;
    }
    // Growing step by step would take up to twice the size of a large body.
    current_->request.body.reserve(head.content_length.value_or(0));
    if (ask_for_body && exchanges_.empty()) {
        send("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

void caller_session::on_body(std::string_view bytes)
{
    if (!current_ || no_more_requests_) {
        return;
    }
    auto& body = current_->request.body;
    if (body.size() + bytes.size() > owner_.limits().max_body_bytes) {
        reject(413);
        return;
    }
    if (!reserve_for_body(body.size() + bytes.size())) {
        log(log_level::warning, "request body refused for lack of memory",
            {{"bytes", body.size() + bytes.size()}, {"reserved", owner_.body_memory().large.used()}});
        reject(503);
        return;
    }
    body += bytes;
}

bool caller_session::reserve_for_body(std::size_t size)
{
    auto& budgets = owner_.body_memory();
    auto& budget = size <= body_budgets::max_small_body ? budgets.small : budgets.large;
    auto& memory = current_->body_memory_;
    if (!memory || &memory->budget() != &budget) {
        memory.emplace(budget);
    }
    return memory->grow(size * body_budgets::copies - memory->bytes());
}

void caller_session::request_complete()
{
    parser_.reset();
    parser_.set_max_head(owner_.limits().max_header_bytes);
    last_activity_ = owner_.time().now();
    auto exchange = std::exchange(current_, nullptr);
    if (!exchange) {
        return;
    }
    exchanges_.push_back(exchange);
    if (exchange->close_after_) {
        no_more_requests_ = true;
    }
    remove_hop_by_hop_headers(exchange->request.headers);
    undispatched_.push_back(std::move(exchange));
}

void caller_session::on_read_end()
{
    const auto keep = shared_from_this();
    auto requests = std::exchange(undispatched_, {});
    for (auto& exchange : requests) {
        // A response that closes the connection drops the requests that follow it.
        if (!exchange->disconnected()) {
            owner_.on_request(std::move(exchange));
        }
    }
}

void caller_session::reject(int status)
{
    no_more_requests_ = true;
    auto exchange = current_ ? std::exchange(current_, nullptr)
                             : std::make_shared<caller_exchange>(std::weak_ptr<caller_session>{
                                   std::static_pointer_cast<caller_session>(shared_from_this())});
    exchange->close_after_ = true;
    exchanges_.push_back(exchange);
    exchange->respond({status, {}, {}});
}

bool caller_session::closes_with(const caller_exchange& exchange)
{
    const bool closes = exchange.close_after_ || (owner_.draining() && exchanges_.size() == 1);
    if (closes) {
        // Requests behind a response that closes the connection are never answered, so none may be started.
        no_more_requests_ = true;
        current_ = nullptr;
    }
    return closes;
}

void caller_session::flush()
{
    const auto keep = shared_from_this();
    while (is_open() && !exchanges_.empty()) {
        auto& front = *exchanges_.front();
        if (!front.pending_output_.empty()) {
            if (front.ends_with_connection_) {
                reset_unless_finished();
            }
            send(std::exchange(front.pending_output_, {}));
            if (front.progress_callback_ && front.body_queued_ > 0 && unsent() == 0) {
                front.progress_callback_(std::exchange(front.body_queued_, 0));
            }
        }
        if (exchanges_.empty() || !exchanges_.front()->complete_) {
            return;
        }
        finish_response();
    }
}

void caller_session::finish_response()
{
    const auto exchange = exchanges_.front();
    exchanges_.pop_front();
    exchange->body_memory_.reset();
    last_activity_ = owner_.time().now();
    if (exchange->close_announced_) {
        linger();
        return;
    }
    if (exchanges_.size() < max_pipelined_requests) {
        resume_reading();
    }
}

void caller_session::linger()
{
    // Closing with unread bytes would reset the connection and could discard the response in transit.
    lingering_ = true;
    last_activity_ = owner_.time().now();
    finish_sending();
    resume_reading();
    // Requests after a response with `Connection: close` are abandoned. By RFC 9112 they count as not
    // processed; callers send them again on another connection.
    drop_exchanges();
}

void caller_session::on_sent(std::size_t)
{
    if (exchanges_.empty() || unsent() > 0) {
        return;
    }
    auto& front = *exchanges_.front();
    if (front.progress_callback_ && front.body_queued_ > 0 && front.pending_output_.empty()) {
        front.progress_callback_(std::exchange(front.body_queued_, 0));
    }
}

void caller_session::drop_exchanges()
{
    auto dropped = std::exchange(exchanges_, {});
    undispatched_.clear();
    current_ = nullptr;
    for (const auto& exchange : dropped) {
        exchange->disconnected_ = true;
        if (exchange->disconnect_callback_ && !exchange->complete_) {
            std::exchange(exchange->disconnect_callback_, nullptr)();
        }
    }
}

void caller_session::on_closed(const std::error_code&)
{
    for (const auto& exchange : undispatched_) {
        owner_.on_request_abandoned(*exchange);
    }
    drop_exchanges();
    owner_.on_session_end(this);
}

void caller_session::end()
{
    const auto keep = shared_from_this();
    close();
    drop_exchanges();
    owner_.on_session_end(this);
}

session_state caller_session::state() const
{
    if (lingering_) {
        return session_state::closing;
    }
    if (!exchanges_.empty()) {
        return session_state::answering;
    }
    return idle() ? session_state::idle : session_state::reading;
}

void caller_session::close_if_idle()
{
    if (idle() && unsent() == 0 && is_open()) {
        end();
    }
}

void caller_session::check(steady_time now)
{
    if (!is_open()) {
        return;
    }
    const auto keep = shared_from_this();
    check_peer_while_paused();
    if (!is_open()) {
        return;
    }
    if (unsent() > 0 && peer_unresponsive(socket(), caller_unresponsive_timeout)) {
        log(log_level::info, "caller unresponsive", {{"unsent_bytes", unsent()}});
        end();
        return;
    }
    const auto inactive_time = now - last_activity_;
    const auto& limits = owner_.limits();
    if (lingering_) {
        if (inactive_time > linger_time && unsent() == 0) {
            end();
        }
        return;
    }
    if (no_more_requests_ || !exchanges_.empty()) {
        return;
    }
    if (current_ || parser_.started()) {
        // The head has a timeout of its own; a body is subject to the idle timeout.
        const auto limit = current_ ? limits.idle_timeout : limits.header_timeout;
        if (inactive_time > limit) {
            reject(408);
        }
        return;
    }
    if (inactive_time > limits.idle_timeout + idle_close_margin) {
        end();
    }
}

} // namespace wagtailhatch
