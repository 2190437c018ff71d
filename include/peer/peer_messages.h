#pragma once

#include "include/admission/crash_quarantine.h"
#include "include/admission/load_report.h"
#include "include/call/service_call.h"
#include "include/membership/evacuation.h"
#include "include/membership/member.h"
#include "include/quota/rate_allocator.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailhatch {

/// Type of a frame between nodes. The values are part of the wire protocol.
enum class frame_type : std::uint8_t {
    hello = 1,  ///< First frame of each side: the sender's status and the nodes it knows.
    status,     ///< Status of the sender, sent periodically and on changes; also serves as a heartbeat.
    call,       ///< A request for the receiver's target.
    cancel,     ///< Cancels a call: its caller has disconnected or its deadline has passed.
    window,     ///< Flow control: bytes of an answer were passed on to the caller.
    reply,      ///< A complete answer.
    reply_head, ///< Head of an answer that is streamed.
    reply_data,
    reply_end,
    failure,        ///< A call ended without an answer.
    config_request, ///< Requests the newest configuration.
    config,
    crash,         ///< Fingerprints of the requests in flight when a target crashed.
    store_contact, ///< The store has just answered the sender. Without payload.
    rate_request,  ///< Requests tokens of a workspace's rate.
    rate_grant,    ///< Answers a rate_request.
    store_eras,    ///< Eras of the store that the sender's messages refer to. Unknown to older nodes.
};

/// Status that a node publishes to its peers.
struct node_status {
    member self;
    std::uint32_t slots = 0;
    bool cold = false;        ///< The target is still warming up and slow.
    bool reads_store = false; ///< The node follows the store, which has answered it recently.
    load_report load;
    std::uint64_t config_version = 0;
    bool allocates_rates = false; ///< The node may allocate the rates of workspaces.
    /// The sender has not heard the receiver lately and takes it for out of reach.
    bool misses_receiver = false;
    /// Evacuated data centres, whose era is not part of the status; empty if the sender has not heard of an
    /// evacuation. Sent only if present.
    std::optional<evacuation_set> evacuation{};
};

struct hello_message {
    node_status status;
    std::vector<peer_address> known; ///< The sender and the nodes that it has links to.
};

/// Eras of the store that the following messages of the sender refer to. Sent before the first such message
/// and when they change, in a frame of its own because older nodes read no further fields of a status.
struct store_eras {
    std::uint64_t newest = 0;     ///< That the sender has heard of.
    std::uint64_t evacuation = 0; ///< Of the evacuated data centres in its status.

    bool operator==(const store_eras&) const = default;
};

struct config_message {
    std::uint64_t version = 0;
    std::string document; ///< Unchanged, as written by the operators.
};

std::string encode(const hello_message& m);
std::string encode(const node_status& m);
/// Deadlines are encoded as the time remaining at `now`, because nodes do not share a clock.
std::string encode(const service_call& m, steady_time now);
std::string encode(const http_response& response, std::optional<std::uint64_t> length,
                   const load_report& load);
std::string encode(const call_failure& failure, const load_report& load);
std::string encode(const config_message& m);
std::string encode(const crash_report& m);
std::string encode(const rate_request& m);
std::string encode(const rate_grant& m);
std::string encode(const store_eras& m);

/// A complete answer, or the head of a streamed one.
struct reply_message {
    http_response response;
    std::optional<std::uint64_t> length;
    load_report load;
};

struct failure_message {
    call_failure failure;
    load_report load;
};

/// The decoders return std::nullopt for a malformed message.
std::optional<hello_message> decode_hello(std::string_view bytes);
std::optional<node_status> decode_status(std::string_view bytes);
std::optional<service_call> decode_call(std::string_view bytes, steady_time now);
std::optional<reply_message> decode_reply(std::string_view bytes);
std::optional<failure_message> decode_failure(std::string_view bytes);
std::optional<config_message> decode_config(std::string_view bytes);
std::optional<crash_report> decode_crash(std::string_view bytes);
std::optional<rate_request> decode_rate_request(std::string_view bytes);
std::optional<rate_grant> decode_rate_grant(std::string_view bytes);
std::optional<store_eras> decode_store_eras(std::string_view bytes);

} // namespace wagtailhatch
