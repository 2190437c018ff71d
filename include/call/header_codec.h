#pragma once

#include "include/core/clock.h"
#include "include/http/http_message.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace wagtailhatch {

/// Metadata from the headers of a caller's request.
struct request_metadata {
    std::string id;                                      ///< Request id; empty if absent.
    std::optional<std::chrono::milliseconds> time_limit; ///< The caller's time-out.
    std::string parent;   ///< Id of the request whose processing made this call; empty if absent.
    std::string key;      ///< Presented API key; empty if absent or ambiguous.
    bool has_key = false; ///< An API key was presented, even if it is ambiguous.
};

/// Metadata that the node adds to a request for the target.
struct target_metadata {
    std::chrono::milliseconds time_left{};
    std::string expected_instance; ///< No other instance may run the request; empty: unknown.
    std::string workspace;         ///< Empty on public routes.
    std::string origin; ///< Service of the instance whose node received the request from the caller.
};

/// Metadata from the headers of a target's response.
struct response_metadata {
    std::string id;                     ///< Id of the request that it answers; empty if absent.
    bool signed_by_target = false;      ///< Has the header that only targets set.
    bool not_executed = false;          ///< The target declares that it did not run the request.
    bool encoded = false;               ///< The body has a content coding applied.
    std::optional<std::uint32_t> slots; ///< Service slots according to the target's own load report.
    /// How long work takes on the target's host at this moment relative to the usual duration: 1 as usual, 2
    /// twice as long. NaN if the target sent one that is not a number; values that cannot be true are not
    /// filtered.
    std::optional<double> pace;
    std::optional<double> rate_limit;  ///< Requests per second that the target takes from all nodes together.
    std::optional<duration> cold_left; ///< In a health response: time for which the target stays cold.
    bool leaving = false;              ///< The target is about to end and wants no new requests.
};

/// Codec for the metadata headers between callers, nodes and targets. Implementations are stateless and may
/// be called from any thread.
class header_codec {
public:
    virtual ~header_codec() = default;

    /// Parses the caller's metadata. Removes the API key and all headers that only nodes and targets may set.
    virtual request_metadata read_request(http_headers& headers) const = 0;

    /// Adds the metadata headers to a request for the target.
    virtual void write_target_headers(const target_metadata& metadata, http_headers& headers) const = 0;

    virtual response_metadata read_response(const http_response& head) const = 0;

    /// Headers of a response that the node generates itself. With a `retry_after` of zero there is no such
    /// header.
    virtual http_headers local_response_headers(const std::string& id, duration retry_after) const = 0;
};

} // namespace wagtailhatch
