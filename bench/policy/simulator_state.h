#pragma once

#include "bench/policy/quota.h"
#include "bench/policy/retry_throttle.h"
#include "bench/policy/retry_tokens.h"
#include "bench/policy/simulation.h"
#include "include/admission/crash_quarantine.h"

#include <deque>
#include <memory>
#include <optional>
#include <queue>
#include <string>

namespace wagtailhatch::bench {

using index = std::uint32_t;
constexpr index no_index = ~index{0};

enum class event_kind : std::uint8_t {
    arrival,           ///< a: workspace.
    attempt,           ///< a: request. An attempt of the caller reaches its entry node.
    caller_retry,      ///< a: request. The caller retries.
    attempt_timed_out, ///< a: request, b: attempt. The attempt times out at the caller.
    reply,             ///< a: request, b: attempt, c: 1 if it succeeded, 0 if refused or failed.
    deliver,           ///< a: call. It reaches the node of its target.
    work_done,         ///< a: call.
    answer,            ///< a: call. Its answer reaches the sender.
    hop_timeout,       ///< a: call.
    tick,              ///< a: server.
    crash,             ///< a: call.
    change,            ///< a: server, b: server_change.
};

enum class server_change : std::uint8_t {
    slow,
    normal_speed,
    freeze,
    thaw,
    kill,
    restart_cold,
    replace_cold,
    warm,
    poison
};

struct event {
    std::int64_t time = 0; ///< Nanoseconds.
    std::uint64_t sequence = 0;
    event_kind kind = event_kind::tick;
    std::uint8_t c = 0;
    index a = 0;
    index b = 0;
    std::uint32_t generation = 0; ///< Generation of the call; events of an earlier one are ignored.

    bool operator<(const event& other) const
    {
        return time != other.time ? time > other.time : sequence > other.sequence;
    }
};

struct caller_request {
    double first_sent = 0; ///< Seconds of simulated time.
    std::uint8_t workspace = 0;
    std::uint8_t route = 0;
    std::uint8_t attempts = 0;
    bool finished = false;
    bool awaiting_reply = false;  ///< The current attempt has no reply yet.
    bool poison = false;          ///< Crashes the target that starts it.
    bool refusal_counted = false; ///< The refusal of its first attempt has been counted.
    index root = no_index;        ///< Root call of the current attempt.
    retry_tokens tokens{0};
};

enum class call_state : std::uint8_t { free, sent, queued, running, answered };

struct call {
    std::uint32_t generation = 0;
    call_state state = call_state::free;
    call_result result = call_result::answered;
    /// Not to be retried by the sender: failed downstream, past its deadline or quarantined.
    bool not_retryable = false;
    bool connection_lost = false; ///< The connection to the target was lost.
    bool detached = false;        ///< The sender no longer waits.
    bool holds_slot = false;      ///< Occupies a service slot.
    std::uint8_t hop = 0;
    std::uint8_t retries = 0;
    index request = no_index;
    std::uint32_t attempt = 0;
    index parent = no_index;
    index child = no_index;
    index sender = no_index; ///< Server whose node sent it.
    index server = no_index;
    // Nanoseconds of simulated time.
    std::int64_t sent = 0;
    std::int64_t started = 0;
    std::int64_t child_started = 0;
    std::int64_t time_in_children = 0;
    std::int64_t deadline = 0;

    retry_tokens tokens{0};
    retry_tokens::loan_id loan = 0;
    std::uint32_t returned_tokens = 0;
    load_report report;
    std::vector<std::string> tried_targets;
};

/// A target and its sidecar node, which runs the modules under test.
struct server {
    int service = 0;
    int data_centre = 0;
    std::string id;
    std::uint64_t incarnation = 1;
    bool up = true;
    bool ticking = false;
    double service_time_factor = 1;
    double cold_since = -1; ///< Seconds of simulated time of the last cold start; -1: none.
    std::uint32_t busy_slots = 0;
    /// Calls that wait in the target for a service slot, with their generation.
    std::deque<std::pair<index, std::uint32_t>> backlog;
    std::vector<index> in_target;
    std::unique_ptr<admission_controller> admission;
    std::vector<std::unique_ptr<balancer>> balancers; ///< Indexed by service.
    retry_throttle throttle{{}};
    crash_quarantine quarantine{{}};
    std::optional<load_report> frozen; ///< Sent instead of current load reports while set.
};

} // namespace wagtailhatch::bench
