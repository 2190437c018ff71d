#pragma once

#include "include/admission/load_report.h"
#include "include/core/call_context.h"
#include "include/core/outcome.h"
#include "include/core/result.h"
#include "include/http/http_message.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace wagtailhatch {

/// A request as one node sends it to another. The deadline travels as remaining time.
struct call_message {
    std::string service;
    call_context context;
    bool idempotent = true;     ///< May be tried again after an unknown outcome.
    bool first_attempt = false; ///< The caller states that it never sent this run-once key before.
    http_request request;
};

/// The answer to a call_message.
struct call_reply {
    outcome result = outcome::unknown;
    refusal_reason reason = refusal_reason::none;
    bool downstream_refused = false; ///< The target's answer follows from a refusal further down.
    std::chrono::milliseconds retry_after{0};
    std::uint32_t retry_tokens = 0; ///< Lent tokens that were not used.
    bool leaving = false;           ///< The instance takes no new work.
    load_report load;
    http_response response; ///< Valid if result is answered.
};

std::string encode(const call_message& message, steady_time now);
result<call_message> decode_call_message(const std::string& bytes, steady_time now);

std::string encode(const call_reply& reply);
result<call_reply> decode_call_reply(const std::string& bytes);

} // namespace wagtailhatch
