#pragma once

#include "include/admission/load_report.h"
#include "include/core/allowed_regions.h"
#include "include/core/clock.h"
#include "include/core/importance.h"
#include "include/core/memory_budget.h"
#include "include/core/refusal_reason.h"
#include "include/http/http_message.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace wagtailhatch {

/// A request that is routed to a target of a service.
struct service_call {
    std::string id;        ///< Request id as sent by the caller; correlates the logs of all nodes.
    std::string service;   ///< Destination service.
    std::string route;     ///< Name of the route on which the call chain entered.
    std::string workspace; ///< Empty on public routes.
    std::string origin;    ///< Service of the instance whose node received the request from the caller.
    importance level = importance::normal;
    bool idempotent = true;
    std::uint32_t depth = 0;      ///< Number of upstream calls in its chain.
    bool repeated = false;        ///< This request or an upstream one is a retry.
    std::uint32_t calls_done = 0; ///< Successful downstream calls; counted only at the target's node.
    steady_time deadline{};       ///< Local monotonic time; sent between nodes as remaining time.
    /// Soft deadline for admission and queueing: a response after it is of less use to the caller.
    steady_time soft_deadline{};
    /// Requests per second that the target accepts, as last reported to the sender; 0: no limit known.
    double target_rate_limit = 0;
    allowed_regions regions;       ///< Regions whose targets may run it and the calls it causes.
    std::uint64_t fingerprint = 0; ///< Equal for equal requests; key of the crash quarantine.
    http_request request;          ///< Without hop-by-hop headers and without the API key.
    /// Memory reserved for a large body that came from another node; held until the call ends.
    std::shared_ptr<const memory_reservation> body_memory;
};

/// Reason why a call produced no usable response from a target.
struct call_failure {
    refusal_reason reason = refusal_reason::none;
    bool may_have_run = true;    ///< False only if the request has certainly not run and never will.
    bool reached_target = false; ///< Counts as an arrival at the target, even if the target rejected it.
    duration retry_after{};      ///< Time until capacity is expected; zero: unknown.
    std::string target;          ///< Id of the instance; empty if none was chosen.
};

/// Receives the result of a call, exactly one of: on_reply(), on_failure(), or on_reply_head() followed by
/// on_reply_data() and then on_reply_end() or on_failure(). All callbacks run on one thread.
class reply_sink {
public:
    virtual ~reply_sink() = default;
    virtual void on_reply(http_response response, const load_report& load) = 0;
    virtual void on_reply_head(http_response head, std::optional<std::uint64_t> length,
                               const load_report& load) = 0;
    virtual void on_reply_data(std::string bytes) = 0;
    virtual void on_reply_end() = 0;
    virtual void on_failure(const call_failure& failure, const load_report& load) = 0;
};

/// Handle of a call in progress, owned by its initiator.
class call_handle {
public:
    virtual ~call_handle() = default;

    /// Cancels the call after its caller has disconnected. The target's work is aborted only if the request
    /// is idempotent or not yet sent. The sink receives nothing afterwards.
    virtual void cancel() = 0;

    /// Flow control: reports that this many bytes of on_reply_data() have been sent to the caller.
    virtual void consumed(std::size_t bytes) = 0;
};

} // namespace wagtailhatch
