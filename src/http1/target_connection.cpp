#include "src/http1/target_connection.h"

#include "include/http/http_status.h"
#include "src/http1/message_format.h"
#include "src/http1/socket_options.h"

#include <asio/error.hpp>
#include <asio/post.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace wagtailhatch {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t max_response_head = std::size_t{64} << 10;
// The target runs on the same machine; a peer that does not respond for this long counts as lost.
constexpr auto target_unresponsive_timeout = 2000ms;
// Limit, in bytes, of heads, interim responses, responses to earlier requests and chunk framing.
constexpr std::size_t max_overhead = std::size_t{256} << 10;
// A chunk of one byte has five bytes of framing.
constexpr std::size_t max_overhead_per_byte = 8;
// Larger request bodies are written apart from their head: a second write costs less than a copy.
constexpr std::size_t max_joined_body = std::size_t{16} << 10;
constexpr duration default_idle_limit = 4s;
// Limits the memory for keys of one connection; a connection that has reached it is not reused.
constexpr std::size_t max_unsuccessful = 64;
// The target closes idle connections by its own clock; no request may be in transit when it does.
constexpr duration reuse_margin = 700ms;

} // namespace

target_connection::target_connection(asio::ip::tcp::socket socket, target_connection_owner& owner,
                                     const clock& time)
    : byte_stream{std::move(socket)}
    , owner_{owner}
    , time_{time}
    , parser_{message_role::response, *this, max_response_head}
    , idle_limit_{default_idle_limit}
{
}

void target_connection::connect(const asio::ip::tcp::endpoint& to, target_request request,
                                std::shared_ptr<target_events> events)
{
    events_ = std::move(events);
    connecting_ = true;
    socket().async_connect(to, [this, request = std::move(request),
                                keep = shared_from_this()](const std::error_code& ec) mutable {
        connecting_ = false;
        if (ended_) {
            return;
        }
        if (ec) {
            fail(ec == asio::error::connection_refused ? target_failure::refused
                                                       : target_failure::not_connected);
            return;
        }
        configure_slow_reader_socket(socket(), target_unresponsive_timeout);
        start_reading();
        exchange(std::move(request), std::exchange(events_, nullptr));
    });
}

void target_connection::exchange(target_request request, std::shared_ptr<target_events> events)
{
    events_ = std::move(events);
    head_request_ = request.head_only;
    key_ = request.key;
    delivered_ = 0;
    overhead_ = 0;
    parser_.reset(head_request_);
    if (request.body.size() <= max_joined_body) {
        request.bytes += request.body;
        request.body.clear();
    }
    send(std::move(request.bytes));
    send(std::move(request.body));
}

void target_connection::check()
{
    if (events_ && !connecting_ && is_open() && peer_unresponsive(socket(), target_unresponsive_timeout)) {
        fail(target_failure::no_response);
    }
}

void target_connection::cancel()
{
    events_ = nullptr;
    end();
}

void target_connection::end()
{
    if (std::exchange(ended_, true)) {
        return;
    }
    const auto keep = shared_from_this();
    close();
    owner_.on_end(*this);
}

void target_connection::fail(target_failure failure)
{
    const auto keep = shared_from_this();
    const auto events = std::exchange(events_, nullptr);
    end();
    if (events) {
        events->on_target_failure(failure);
    }
}

void target_connection::on_bytes(std::string_view bytes)
{
    const auto keep = shared_from_this();
    while (!bytes.empty() && is_open()) {
        if (!events_) {
            // No request is in progress: surplus bytes of the last response, or a second response.
            end();
            return;
        }
        const auto delivered = delivered_;
        const auto [status, consumed] = parser_.parse(bytes);
        bytes.remove_prefix(consumed);
        if (ended_) {
            return; // By a callback during the parsing.
        }
        overhead_ += consumed - (delivered_ - delivered);
        if (events_ && exceeds_overhead_limit()) {
            fail(parser_.head_complete() && !skipping_ ? target_failure::truncated
                                                       : target_failure::malformed_response);
            return;
        }
        switch (status) {
        case parse_status::need_more:
            return;
        case parse_status::complete:
            response_complete(!bytes.empty());
            break;
        case parse_status::malformed:
        case parse_status::head_too_large:
            fail(parser_.head_complete() ? target_failure::truncated : target_failure::malformed_response);
            return;
        }
    }
}

void target_connection::on_head(message_head head)
{
    if (!events_) {
        return;
    }
    skipping_ = !events_->accepts(head, reused_);
    if (skipping_) {
        // Responses on this connection can no longer be matched to requests after this one.
        reusable_ = false;
        return;
    }
    apply_keep_alive_timeout(head);
    if (!head.keep_alive || unsent() > 0) {
        reusable_ = false;
    }
    if (!http_status::is_success(head.status)) {
        record_unsuccessful();
    }
    events_->on_response_head(std::move(head));
}

bool target_connection::may_carry(std::uint64_t key) const
{
    return std::find(unsuccessful_.begin(), unsuccessful_.end(), key) == unsuccessful_.end();
}

void target_connection::record_unsuccessful()
{
    unsuccessful_.push_back(key_);
    reusable_ = reusable_ && unsuccessful_.size() < max_unsuccessful;
}

void target_connection::apply_keep_alive_timeout(const message_head& head)
{
    const auto* header = find_header(head.headers, "Keep-Alive");
    if (header == nullptr) {
        return;
    }
    const auto at = header->find("timeout=");
    if (at == std::string::npos) {
        return;
    }
    int seconds = 0;
    const auto* begin = header->data() + at + std::string_view{"timeout="}.size();
    if (std::from_chars(begin, header->data() + header->size(), seconds).ec == std::errc{}) {
        idle_limit_ = std::max<duration>(std::chrono::seconds{seconds} - reuse_margin, duration{});
    }
}

void target_connection::on_body(std::string_view bytes)
{
    if (events_ && !skipping_) {
        delivered_ += bytes.size();
        events_->on_response_data(bytes);
    }
}

void target_connection::response_complete(bool surplus)
{
    if (std::exchange(skipping_, false)) {
        parser_.reset(head_request_);
        return;
    }
    // A target that responds before it has read the whole request body still reads the rest as part of it.
    reusable_ = reusable_ && !surplus && unsent() == 0;
    const auto events = std::exchange(events_, nullptr);
    reused_ = true;
    parser_.reset();
    if (!reusable_) {
        end();
    }
    else {
        idle_since_ = time_.now();
        resume_reading();
        owner_.on_idle(*this);
    }
    if (events) {
        events->on_response_end();
    }
}

bool target_connection::exceeds_overhead_limit() const
{
    return overhead_ > max_overhead + max_overhead_per_byte * delivered_;
}

bool target_connection::end_requires_sending() const
{
    // The end of such a response is the only sign that it is complete, and a target that ends its side with a
    // part of the request unread may reset the connection next.
    return events_ && !skipping_ && parser_.ends_with_connection();
}

void target_connection::on_closed(const std::error_code& reason)
{
    if (!events_) {
        end();
        return;
    }
    // A response without a length ends with the connection, unless the connection was reset.
    if (!reason && !skipping_ && parser_.finish()) {
        reusable_ = false;
        response_complete(false);
        return;
    }
    fail(parser_.head_complete() && !skipping_ ? target_failure::truncated : target_failure::no_response);
}

} // namespace wagtailhatch
