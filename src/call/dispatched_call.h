#pragma once

#include "include/admission/target_pace.h"
#include "include/call/service_call.h"
#include "src/http1/target_connection.h"

#include <cstdint>
#include <memory>
#include <string>

namespace wagtailhatch {

class target_dispatcher;

/// One call that a target_dispatcher sends to its target. Responses up to a size limit are buffered and
/// validated before any byte is forwarded, so that an invalid response can still be replaced; larger ones are
/// streamed.
class dispatched_call final : public target_events,
                              public call_handle,
                              public std::enable_shared_from_this<dispatched_call> {
public:
    dispatched_call(target_dispatcher& dispatcher, std::uint64_t admission_id, service_call call,
                    std::shared_ptr<reply_sink> sink);

    void cancel() override;
    void consumed(std::size_t bytes) override;

    /// Sends the request to the target.
    void send();
    void refuse(refusal_reason reason, duration retry_after);

    const service_call& call() const { return call_; }
    std::uint64_t admission_id() const { return admission_id_; }
    void record_call_done() { ++call_.calls_done; }
    bool sent() const { return sent_; }

    bool accepts(const message_head& head, bool reused) override;
    void on_response_head(message_head head) override;
    void on_response_data(std::string_view bytes) override;
    void on_response_end() override;
    void on_target_failure(target_failure failure) override;

    /// Aborts a cancelled non-idempotent request that the target has not completed by its deadline.
    void end_if_abandoned(steady_time now);

private:
    void begin_stream();
    /// Records how long the target took, from sending the request until the head of its response. The rest of
    /// a streamed response arrives as fast as the caller reads it.
    void measure_response();
    void fail(refusal_reason reason, bool may_have_run, bool success);
    void fail_rejected();
    /// Aborts a response that is larger than the buffer limit and does not qualify for streaming.
    void abort_oversized();
    bool rejected_by_target() const;

    target_dispatcher& dispatcher_;
    std::uint64_t admission_id_;
    service_call call_;
    std::shared_ptr<reply_sink> sink_; ///< Empty once the result was reported or the call was cancelled.
    steady_time arrived_{};            ///< When the call arrived at this node.
    std::weak_ptr<target_connection> connection_;
    message_head head_;
    http_response response_;
    std::string target_id_; ///< Incarnation of the target that the request was sent to.
    target_pace::sent_request sent_request_;
    bool sent_ = false;
    bool streaming_ = false;
    bool signed_by_target_ = false;
    bool not_executed_ = false;
    bool encoded_ = false;
    std::size_t unconsumed_bytes_ = 0; ///< Bytes forwarded to the sink and not yet consumed.
};

} // namespace wagtailhatch
