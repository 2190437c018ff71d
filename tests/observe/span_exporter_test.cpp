#include "include/core/random_source.h"
#include "include/http/http_client.h"
#include "include/observe/span_exporter.h"

#include <asio/post.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace wagtailhatch;

namespace {

/// HTTP client stub that records calls; answer() completes the latest one. Status 0 is a transport failure.
class fake_client final : public http_client {
public:
    call_id start(http_call call, completion done) override
    {
        calls.push_back(std::move(call));
        completions.push_back(std::move(done));
        return calls.size();
    }
    void cancel(call_id) override {}
    void answer(int status)
    {
        http_result result;
        result.ok = status != 0;
        result.response.status = status;
        const auto done = std::move(completions.back());
        completions.pop_back();
        done(std::move(result));
    }
    std::vector<http_call> calls;
    std::vector<completion> completions;
};

span make_span(bool sampled = true)
{
    random_source random{7};
    span s;
    s.context = new_trace(random, sampled);
    s.name = "print \xff";
    s.kind = span_kind::server;
    s.start = wall_time{std::chrono::seconds{1'700'000'000}};
    s.end = s.start + std::chrono::milliseconds{5};
    s.parent = s.context.span_id;
    s.attributes = {{"http.route", std::string{"/print"}}, {"attempts", std::int64_t{2}}, {"local", true}};
    s.failed = true;
    return s;
}

span_exporter_options options()
{
    span_exporter_options out;
    out.endpoint = "127.0.0.1:4318";
    out.service = "labels";
    out.instance = "labels-1";
    out.max_queue = 4;
    out.max_batch = 3;
    out.interval = std::chrono::milliseconds{1};
    return out;
}

} // namespace

// Guards against exports that receivers reject: times as numbers, upper-case ids, bytes that are not UTF-8.
TEST_CASE("spans are serialized as OTLP JSON")
{
    const auto json = nlohmann::json::parse(otlp_json({make_span()}, options()));
    const auto& resource = json["resourceSpans"][0];
    CHECK(resource["resource"]["attributes"][0]["key"] == "service.name");
    CHECK(resource["resource"]["attributes"][0]["value"]["stringValue"] == "labels");
    const auto& s = resource["scopeSpans"][0]["spans"][0];
    CHECK(s["traceId"] == trace_id_text(make_span().context));
    CHECK(s["spanId"].get<std::string>().size() == 16);
    CHECK(s["parentSpanId"] == s["spanId"]);
    CHECK(s["kind"] == 2);
    CHECK(s["startTimeUnixNano"] == "1700000000000000000");
    CHECK(s["endTimeUnixNano"] == "1700000000005000000");
    CHECK(s["attributes"][1]["value"]["intValue"] == "2");
    CHECK(s["attributes"][2]["value"]["boolValue"] == true);
    CHECK(s["status"]["code"] == 2);
}

// Guards against unbounded memory use, and uncounted losses, while the receiver is slow or unreachable.
TEST_CASE("the span queue is bounded and dropped spans are counted")
{
    asio::io_context io;
    fake_client client;
    span_exporter exporter{io, client, options()};
    exporter.record(make_span(false));
    CHECK(exporter.queued() == 0);
    for (int i = 0; i < 6; ++i) {
        exporter.record(make_span());
    }
    CHECK(exporter.queued() == 4);
    CHECK(exporter.dropped() == 2);
    while (client.calls.empty()) {
        io.run_one();
    }
    CHECK(client.calls[0].request.target == "/v1/traces");
    CHECK(exporter.queued() == 1);
    client.answer(200);
    CHECK(exporter.exported() == 3);
    while (client.calls.size() < 2) {
        io.restart();
        io.run_one();
    }
    client.answer(0);
    CHECK(exporter.dropped() == 3);
    CHECK(exporter.queued() == 0);
}

// Guards against use after free when an export completes after the exporter is destroyed (detected by
// AddressSanitizer).
TEST_CASE("an exporter may be destroyed with an export in flight")
{
    asio::io_context io;
    fake_client client;
    {
        span_exporter exporter{io, client, options()};
        exporter.record(make_span());
        while (client.calls.empty()) {
            io.run_one();
        }
        exporter.record(make_span());
    }
    client.answer(200);
    io.restart();
    io.poll();
    CHECK(client.calls.size() == 1);
}
