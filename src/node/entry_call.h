#pragma once

#include "include/call/caller_dialect.h"
#include "include/call/service_call.h"
#include "src/http1/caller_exchange.h"
#include "src/node/entry_router.h"

#include <asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace wagtailhatch {

/// One request from its arrival to its final answer. One thread.
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
    /// Fills call_ from route and key; false if the request was answered.
    bool admit(const request_facts& facts);
    /// The request is a call that the own target makes for `parent`.
    void inherit(const service_call& parent);
    void attempt();
    /// Ends a request for which no target is left to try.
    void give_up(refusal_reason nothing_left);
    /// Keeps the refusal that the caller is told of if no attempt does better.
    void note_refusal(const call_failure& failure);
    bool may_repeat() const;
    /// Starts another attempt after an arrival at a target, if the bounds allow it.
    bool repeat();
    void note_answer(const load_report& load, call_result result);
    void refuse(int status, refusal_reason reason, duration retry_after);
    void answer(http_response response);
    void note_own_call(bool failed);
    void count_answer(bool good);
    void on_deadline();
    void on_caller_gone();
    void close();
    duration spread(duration retry_after) const;
    double milliseconds_since_arrival() const; ///< Of the whole request at this node, for logs.

    entry_router& router_;
    std::shared_ptr<caller_exchange> exchange_;
    service_call call_;
    const route_config* route_ = nullptr;
    std::shared_ptr<const configuration> config_; ///< Keeps route_.
    std::shared_ptr<call_handle> handle_;
    std::optional<http_response>
        fallback_;                        ///< A target's failure, to be passed on if no attempt does better.
    std::optional<call_failure> refusal_; ///< By a target that was asked, with the soonest time to return.
    std::string target_;                  ///< Of the attempt in progress.
    std::vector<std::string> tried_;
    asio::steady_timer deadline_timer_;
    steady_time arrived_{};
    std::string parent_;              ///< Request that the own target runs and that made this call.
    std::uint32_t siblings_done_ = 0; ///< Calls that the same request made before with success.
    std::uint32_t arrivals_ = 0;      ///< At targets, as far as this node knows.
    std::uint32_t runs_ = 0;          ///< Of the arrivals, those that may have run.
    std::uint32_t refusals_ = 0;
    bool may_have_run_ = false;
    bool streaming_ = false;
    bool charged_ = false; ///< Took one from the workspace's rate.
    bool closed_ = false;
};

} // namespace wagtailhatch
