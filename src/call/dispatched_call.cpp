#include "src/call/dispatched_call.h"

#include "include/http/http_status.h"
#include "include/observe/logging.h"
#include "src/call/target_dispatcher.h"
#include "src/http1/message_format.h"

#include <xxhash.h>

#include <utility>

namespace wagtailhatch {
namespace {

using namespace std::chrono_literals;

// Responses up to this size are buffered until they are complete.
constexpr std::size_t buffered_response_limit = std::size_t{64} << 10;
// Reading from the target pauses while more than this many bytes have not been sent to the caller.
constexpr std::size_t stream_window = std::size_t{128} << 10;
// Targets stop working on a request at its deadline; the response may arrive this much later.
constexpr duration abandoned_grace = 500ms;

} // namespace

dispatched_call::dispatched_call(target_dispatcher& dispatcher, std::uint64_t admission_id, service_call call,
                                 std::shared_ptr<reply_sink> sink)
    : dispatcher_{dispatcher}
    , admission_id_{admission_id}
    , call_{std::move(call)}
    , sink_{std::move(sink)}
    , arrived_{dispatcher.time_.now()}
{
}

void dispatched_call::send()
{
    sent_ = true;
    dispatcher_.running_[call_.id] = this;
    const auto now = dispatcher_.time_.now();
    if (dispatcher_.sent_callback_) {
        dispatcher_.sent_callback_(now - arrived_);
    }
    auto request = std::move(call_.request);
    target_metadata metadata;
    metadata.time_left = std::chrono::duration_cast<std::chrono::milliseconds>(call_.deadline - now);
    target_id_ = dispatcher_.target_.id;
    sent_request_ = dispatcher_.speed_.on_sent(now);
    metadata.expected_instance = target_id_;
    metadata.workspace = call_.workspace;
    metadata.origin = call_.origin;
    dispatcher_.codec_.write_target_headers(metadata, request.headers);
    target_request outgoing;
    outgoing.bytes = format_request_head(request, request.body.size());
    outgoing.head_only = request.method == "HEAD";
    outgoing.repeatable = call_.idempotent;
    outgoing.key = XXH64(call_.id.data(), call_.id.size(), 0);
    outgoing.body = std::move(request.body);
    connection_ = dispatcher_.pool_.start(std::move(outgoing), shared_from_this());
}

void dispatched_call::refuse(refusal_reason reason, duration retry_after)
{
    const auto sink = std::exchange(sink_, nullptr);
    if (!sink) {
        return;
    }
    sink->on_failure({reason, false, false, retry_after, dispatcher_.target_.id},
                     dispatcher_.load(call_.route));
}

bool dispatched_call::accepts(const message_head& head, bool reused)
{
    const auto metadata = dispatcher_.codec_.read_response({head.status, head.headers, {}});
    if (metadata.id.empty()) {
        // Every success response of a target contains the id of its request. Without an id, a refusal on a
        // reused connection may repeat that of an earlier request and proves nothing about this one.
        const bool refusal = metadata.not_executed || head.status == http_status::misdirected_request;
        return !http_status::is_success(head.status) && !(refusal && reused);
    }
    return metadata.id == call_.id;
}

void dispatched_call::on_response_head(message_head head)
{
    const auto metadata = dispatcher_.codec_.read_response({head.status, head.headers, {}});
    if (target_id_ == dispatcher_.target_.id) {
        dispatcher_.on_response_metadata(metadata);
    }
    signed_by_target_ = metadata.signed_by_target;
    not_executed_ = metadata.not_executed;
    encoded_ = metadata.encoded;
    response_.status = head.status;
    measure_response();
    response_.headers = std::move(head.headers);
    remove_hop_by_hop_headers(response_.headers);
    head_ = std::move(head);
    const auto length = head_.content_length.value_or(0);
    if (length <= buffered_response_limit) {
        response_.body.reserve(length);
    }
    else if (signed_by_target_ && !encoded_) {
        begin_stream();
    }
}

void dispatched_call::measure_response()
{
    // Refusals and failures end earlier than the work would.
    const bool executed = signed_by_target_ && !encoded_ && !rejected_by_target() &&
                          response_.status < http_status::internal_error;
    if (executed && target_id_ == dispatcher_.target_.id) {
        dispatcher_.speed_.on_response(call_.route, sent_request_, dispatcher_.time_.now());
    }
}

void dispatched_call::begin_stream()
{
    streaming_ = true;
    if (sink_) {
        auto head = http_response{response_.status, response_.headers, {}};
        sink_->on_reply_head(std::move(head), head_.content_length, dispatcher_.load(call_.route));
    }
}

void dispatched_call::on_response_data(std::string_view bytes)
{
    if (!sink_) {
        return;
    }
    const bool buffer_exceeded =
        !streaming_ && response_.body.size() + bytes.size() > buffered_response_limit;
    if (buffer_exceeded && (!signed_by_target_ || encoded_)) {
        abort_oversized();
        return;
    }
    if (buffer_exceeded) {
        begin_stream();
        if (sink_ && !response_.body.empty()) {
            unconsumed_bytes_ += response_.body.size();
            sink_->on_reply_data(std::exchange(response_.body, {}));
        }
    }
    if (!streaming_) {
        response_.body += bytes;
        return;
    }
    unconsumed_bytes_ += bytes.size();
    sink_->on_reply_data(std::string{bytes});
    if (unconsumed_bytes_ > stream_window) {
        if (const auto connection = connection_.lock()) {
            connection->pause_reading();
        }
    }
}

void dispatched_call::consumed(std::size_t bytes)
{
    unconsumed_bytes_ -= std::min(unconsumed_bytes_, bytes);
    if (unconsumed_bytes_ <= stream_window / 2) {
        if (const auto connection = connection_.lock()) {
            connection->resume_reading();
        }
    }
}

bool dispatched_call::rejected_by_target() const
{
    return not_executed_ || response_.status == http_status::misdirected_request;
}

void dispatched_call::fail_rejected()
{
    fail(response_.status == http_status::misdirected_request ? refusal_reason::no_target
                                                              : refusal_reason::overload,
         false, false);
}

void dispatched_call::abort_oversized()
{
    const auto self = shared_from_this();
    log(log_level::warning, "answer too large",
        {{"id", call_.id}, {"target", dispatcher_.target_.id}, {"status", response_.status}});
    if (const auto connection = connection_.lock()) {
        connection->cancel();
    }
    if (rejected_by_target()) {
        fail_rejected();
    }
    else {
        fail(refusal_reason::malformed, true, true);
    }
}

void dispatched_call::end_if_abandoned(steady_time now)
{
    if (!sent_ || sink_ || now < call_.deadline + abandoned_grace) {
        return;
    }
    const auto self = shared_from_this();
    log(log_level::warning, "order without an answer",
        {{"id", call_.id}, {"target", dispatcher_.target_.id}});
    if (const auto connection = connection_.lock()) {
        connection->cancel();
    }
    dispatcher_.finished(*this, false);
}

void dispatched_call::on_response_end()
{
    const auto self = shared_from_this();
    if (rejected_by_target()) {
        fail_rejected();
        return;
    }
    if ((http_status::is_success(response_.status) && !signed_by_target_) || encoded_) {
        fail(refusal_reason::malformed, true, true);
        return;
    }
    const auto sink = std::exchange(sink_, nullptr);
    dispatcher_.quarantine_.on_finished(call_.fingerprint);
    dispatcher_.finished(*this, true);
    if (!sink) {
        return;
    }
    if (streaming_) {
        sink->on_reply_end();
    }
    else {
        sink->on_reply(std::move(response_), dispatcher_.load(call_.route));
    }
}

void dispatched_call::on_target_failure(target_failure failure)
{
    const auto self = shared_from_this();
    switch (failure) {
    case target_failure::not_connected:
        fail(refusal_reason::no_target, false, false);
        return;
    case target_failure::refused:
        dispatcher_.mark_target_down();
        fail(refusal_reason::no_target, false, false);
        return;
    case target_failure::no_response:
    case target_failure::truncated:
        dispatcher_.record_lost_connection(call_.fingerprint);
        fail(refusal_reason::connection_lost, true, false);
        return;
    case target_failure::malformed_response:
        fail(refusal_reason::malformed, true, true);
        return;
    }
}

void dispatched_call::fail(refusal_reason reason, bool may_have_run, bool success)
{
    const auto sink = std::exchange(sink_, nullptr);
    dispatcher_.finished(*this, success);
    if (sink) {
        const bool reached = may_have_run || rejected_by_target();
        sink->on_failure({reason, may_have_run, reached, {}, dispatcher_.target_.id},
                         dispatcher_.load(call_.route));
    }
}

void dispatched_call::cancel()
{
    const auto self = shared_from_this();
    const bool reported = !std::exchange(sink_, nullptr);
    if (reported) {
        return;
    }
    if (!sent_) {
        dispatcher_.withdraw(*this);
        return;
    }
    if (!call_.idempotent) {
        return; // The target completes a request that may have started; the response is discarded.
    }
    log(log_level::info, "work cancelled",
        {{"id", call_.id},
         {"target", dispatcher_.target_.id},
         {"after_ms",
          std::chrono::duration<double, std::milli>(dispatcher_.time_.now() - arrived_).count()}});
    if (const auto connection = connection_.lock()) {
        connection->cancel();
    }
    dispatcher_.finished(*this, true);
}

} // namespace wagtailhatch
