#pragma once

#include "include/core/clock.h"
#include "include/core/trace_context.h"
#include "include/observe/trace_parent.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace wagtailhatch {

class http_client;
struct http_result;

/// Values of SpanKind in OTLP.
enum class span_kind : std::uint8_t { internal = 1, server = 2, client = 3 };

using span_attribute = std::pair<std::string, std::variant<std::string, std::int64_t, bool>>;

/// A tracing span. Attributes must not hold API keys or message bodies.
struct span {
    trace_context context;
    std::optional<std::array<std::uint8_t, 8>> parent; ///< Span id of the parent, if any.
    std::string name;
    span_kind kind = span_kind::internal;
    wall_time start{};
    wall_time end{};
    std::vector<span_attribute> attributes;
    bool failed = false;
};

struct span_exporter_options {
    std::string endpoint; ///< "IP:PORT" of an OTLP/HTTP receiver; empty disables the export.
    std::string path = "/v1/traces";
    std::string service;
    std::string instance;
    std::size_t max_queue = 2048;             ///< Spans.
    std::size_t max_batch = 256;              ///< Spans in a request.
    std::chrono::milliseconds interval{1000}; ///< Delay before a batch that is not full is exported.
    std::chrono::milliseconds timeout{5000};  ///< Of an export request.
};

/// Serializes spans as the body of an OTLP/HTTP JSON export request.
std::string otlp_json(const std::vector<span>& spans, const span_exporter_options& options);

/// Batching OTLP span exporter with at most one export request in flight. Never delays the traffic: spans
/// that exceed the queue limit, and batches that the receiver does not accept, are dropped and counted
/// without a retry. Not thread-safe; runs on the HTTP client's thread.
class span_exporter {
public:
    /// The HTTP client must outlive the exporter.
    span_exporter(asio::io_context& io, http_client& client, span_exporter_options options);
    ~span_exporter();
    span_exporter(const span_exporter&) = delete;
    span_exporter& operator=(const span_exporter&) = delete;

    /// Queues the span if its trace is sampled.
    void record(span s);

    std::size_t queued() const;
    std::uint64_t exported() const;
    std::uint64_t dropped() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace wagtailhatch
