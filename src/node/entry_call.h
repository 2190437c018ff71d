#pragma once

#include "include/call/header_codec.h"
#include "include/call/service_call.h"
#include "src/http1/caller_exchange.h"
#include "src/node/entry_router.h"

#include <asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace wagtailhatch {

/// State machine of one request at its entry node, from its arrival to the final answer, including retries.
/// Single-threaded.
class entry_call final : public reply_sink, public std::enable_shared_from_this<entry_call> {
public:
    entry_call(entry_router& router, std::shared_ptr<caller_exchange> exchange);
    ~entry_call() override;
    entry_call(const entry_call&) = delete;
    entry_call& operator=(const entry_call&) = delete;

    void start();

    void on_reply(http_response response, const load_report& load) override;
    void on_reply_head(http_response head, std::optional<std::uint64_t> length,
                       const load_report& load) override;
    void on_reply_data(std::string bytes) override;
    void on_reply_end() override;
    void on_failure(const call_failure& failure, const load_report& load) override;

private:
    /// Matches the route and checks the key; fills call_ accordingly. Returns false if the request was
    /// refused and thereby answered.
    bool authorize(const request_metadata& metadata);
    /// Applies the rate limit of the workspace, which may take a moment, and continues with begin().
    void admit();
    void on_rate_decision(const rate_decision& decision);
    /// Starts the first attempt of an admitted request.
    void begin();
    /// Marks the request as a call that this node's own target makes while it runs `parent`.
    void inherit(const service_call& parent);
    void attempt();
    /// Ends a request for which no further target can be tried. no_target_reason is the reason to report if
    /// no attempt gave one.
    void finish_without_target(refusal_reason no_target_reason);
    /// Records the refusal to report to the caller if every attempt is refused.
    void record_refusal(const call_failure& failure);
    /// Derives the allowed regions and data centres from the route, the workspace and the request of this
    /// node's own target that makes this call, if any.
    void restrict_regions(const allowed_regions& of_workspace, const service_call* parent);
    /// An attempt has ended and may have run.
    void on_unknown_outcome(refusal_reason reason);
    /// An attempt has certainly not run.
    void on_not_run(const call_failure& failure, const load_report& load);
    /// Tries another data centre after a node has refused the request because its data centre is evacuated or
    /// outside of the allowed regions.
    void on_data_centre_refused(refusal_reason reason);
    bool may_retry() const;
    /// Retries after an attempt that reached a target, if the attempt limit, the time left and the retry
    /// budget allow it. Returns whether a new attempt was started.
    bool retry();
    /// Takes a repeated arrival from the retry budget, if this call may have one.
    bool take_retry(steady_time now);
    /// Makes targets that rejected the request available again once all have been tried.
    void allow_repeated_targets(steady_time now);
    placement_limits placement() const;
    /// Retry-After for a request that the entry sheds.
    duration shed_retry_after() const;
    void record_answer(const load_report& load, call_result result);
    /// Records that an attempt reached a target, and whether the target rejected it.
    void record_arrival(bool rejected);
    void refuse(int status, refusal_reason reason, duration retry_after);
    void answer(http_response response);
    void report_downstream_call(bool failed);
    void count_answer(bool good);
    void on_deadline();
    void on_caller_disconnect();
    void close();
    duration with_jitter(duration retry_after) const;
    double milliseconds_since_arrival() const; ///< Time since the request arrived at this node, for logs.

    entry_router& router_;
    std::shared_ptr<caller_exchange> exchange_;
    service_call call_;
    const route_config* route_ = nullptr;
    std::shared_ptr<routing_snapshot> snapshot_; ///< As of the arrival; keeps route_ alive.
    std::shared_ptr<call_handle> handle_;
    std::optional<http_response> fallback_; ///< Error response to return if no later attempt succeeds.
    std::optional<call_failure> refusal_;   ///< Refusal to report: quarantine, else the shortest retry delay.
    std::string target_;                    ///< Target id of the current attempt.
    std::string target_data_centre_;        ///< Of target_.
    std::vector<std::string> tried_;
    /// Data centres in the allowed regions; nothing: any.
    std::optional<std::set<std::string, std::less<>>> allowed_data_centres_;
    /// Data centres whose nodes have refused the request because they are evacuated.
    std::vector<std::string> refused_data_centres_;
    asio::steady_timer deadline_timer_;
    steady_time arrived_{};
    std::string parent_;              ///< Id of the request at this node's target that made this call.
    std::uint32_t siblings_done_ = 0; ///< Earlier calls of the parent request that succeeded.
    std::uint32_t arrivals_ = 0;      ///< Attempts known to have reached a target.
    std::uint32_t runs_ = 0;          ///< Attempts among arrivals_ that may have been executed.
    std::uint32_t refusals_ = 0;
    bool may_have_run_ = false;
    bool streaming_ = false;
    bool charged_ = false; ///< The request was counted against the workspace's rate limit.
    bool closed_ = false;
};

} // namespace wagtailhatch
