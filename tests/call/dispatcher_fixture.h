#pragma once

#include "src/call/target_dispatcher.h"
#include "src/core/socket_address.h"
#include "tests/http/endless_server.h"
#include "tests/http/raw_peer.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace wagtailhatch::test {

using namespace std::chrono_literals;

/// Platform-independent header names.
class plain_codec final : public header_codec {
public:
    request_metadata read_request(http_headers&) const override { return {}; }
    void write_target_headers(const target_metadata& metadata, http_headers& headers) const override
    {
        headers.push_back({"Expect-Id", metadata.expected_instance});
        headers.push_back({"Left", std::to_string(metadata.time_left.count())});
    }
    response_metadata read_response(const http_response& head) const override
    {
        response_metadata metadata;
        if (const auto* id = find_header(head.headers, "Id")) {
            metadata.id = *id;
        }
        metadata.signed_by_target = find_header(head.headers, "Mark") != nullptr;
        metadata.not_executed = find_header(head.headers, "Not-Run") != nullptr;
        metadata.encoded = find_header(head.headers, "Content-Encoding") != nullptr;
        if (const auto* rate = find_header(head.headers, "Rate")) {
            metadata.rate_limit = std::stod(*rate);
        }
        if (const auto* pace = find_header(head.headers, "Pace")) {
            metadata.pace = std::stod(*pace);
        }
        metadata.leaving = find_header(head.headers, "Leaving") != nullptr;
        return metadata;
    }
    http_headers local_response_headers(const std::string&, duration) const override { return {}; }
};

class sink_recorder final : public reply_sink {
public:
    void on_reply(http_response r, const load_report&) override { reply = std::move(r); }
    void on_reply_head(http_response r, std::optional<std::uint64_t>, const load_report&) override
    {
        head = std::move(r);
    }
    void on_reply_data(std::string bytes) override { data += bytes; }
    void on_reply_end() override { ended = true; }
    void on_failure(const call_failure& f, const load_report&) override { failure = f; }
    bool over() const { return reply || ended || failure; }

    std::optional<http_response> reply;
    std::optional<http_response> head;
    std::string data;
    bool ended = false;
    std::optional<call_failure> failure;
};

/// Fixture with a test server that acts as the target.
template <typename Server>
struct dispatcher_fixture {
    template <typename... Arguments>
    explicit dispatcher_fixture(std::uint32_t slots, Arguments&&... arguments)
        : server{io, std::forward<Arguments>(arguments)...}
        , dispatcher{io, time, codec, {"front", *parse_address(server.address()), {}}}
    {
        dispatcher.set_target({"i-1", target_phase::ready, slots, {}});
    }

    std::shared_ptr<sink_recorder> start(const std::string& id, bool idempotent = true,
                                         importance level = importance::normal, duration time_left = 10s)
    {
        service_call call;
        call.id = id;
        call.service = "front";
        call.idempotent = idempotent;
        call.level = level;
        call.deadline = time.now() + time_left;
        call.soft_deadline = soft_deadline_passed ? time.now() - 1ms : call.deadline;
        call.fingerprint = std::hash<std::string>{}(id);
        call.request = {"GET", "/" + id, {}, {}};
        call.target_rate_limit = rate_hint;
        auto sink = std::make_shared<sink_recorder>();
        handles.push_back(dispatcher.start(std::move(call), sink));
        return sink;
    }
    bool wait(const std::function<bool()>& condition) { return run_until(io, condition); }

    asio::io_context io{1};
    system_clock_source time;
    plain_codec codec;
    Server server;
    target_dispatcher dispatcher;
    std::vector<std::shared_ptr<call_handle>> handles;
    double rate_hint = 0; ///< Rate limit that callers pass on.
    bool soft_deadline_passed = false;
};

struct fixture : dispatcher_fixture<raw_server> {
    explicit fixture(raw_server::script script, std::uint32_t slots = 1)
        : dispatcher_fixture{slots, std::move(script)}
    {
    }
};

struct endless_fixture : dispatcher_fixture<endless_server> {
    endless_fixture(const std::string& begin, const std::string& filler)
        : dispatcher_fixture{1, begin, filler}
    {
    }
};

inline std::string answer(const std::string& id, const std::string& extra, const std::string& body,
                          int status = 200)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nId: " + id + "\r\n" + extra +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace wagtailhatch::test
