#pragma once

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

/// Load of the instance that answers and of everything that it calls; see balancer.
struct load_report {
    std::uint32_t in_flight = 0;
    std::uint32_t limit = 0;
    std::uint32_t queued = 0;
    std::chrono::microseconds estimated_wait{0};
    std::uint8_t shed_below = 0; ///< Importance classes above this number are shed; 255: none.
    float admit_fraction = 1;    ///< Of the class shed_below.
    bool leaving = false;
};

/// The answer to a call_message.
struct call_reply {
    outcome result = outcome::unknown;
    refusal_reason reason = refusal_reason::none;
    bool final_refusal = false; ///< Refused deeper in the chain: senders above must not retry.
    std::chrono::milliseconds retry_after{0};
    std::uint32_t retry_tokens = 0; ///< Lent tokens that were not used.
    load_report load;
    http_response response; ///< Valid if result is answered.
};

std::string encode(const call_message& message, steady_time now);
result<call_message> decode_call_message(const std::string& bytes, steady_time now);

std::string encode(const call_reply& reply);
result<call_reply> decode_call_reply(const std::string& bytes);

} // namespace wagtailhatch
