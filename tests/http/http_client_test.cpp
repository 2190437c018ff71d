#include "include/http/http_client.h"
#include "tests/http/raw_peer.h"

#include <catch2/catch.hpp>

#include <cstdlib>

using namespace wagtailhatch;
using namespace wagtailhatch::test;

namespace {

const std::string ok_response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

struct client_fixture {
    explicit client_fixture(raw_server::script script, http_client_options options = {})
        : server{io, std::move(script)}
    {
        auto made = make_http_client(io, options);
        REQUIRE(made);
        client = std::move(*made);
    }
    http_result run(const std::string& method, const std::string& body = {}, bool no_retry = false)
    {
        auto call = make_call(server.address(), method, "/x", body);
        call.no_retry = no_retry;
        return complete(io, *client, std::move(call));
    }

    asio::io_context io;
    raw_server server;
    std::unique_ptr<http_client> client;
};

/// Replies to every request with the same bytes and closes the connection.
raw_server::script always(const std::string& answer)
{
    return [answer](std::size_t) { return raw_server::action{answer, true}; };
}

} // namespace

// Guards against libcurl's retry when a reused connection closes before the response, by which a request with
// side effects ran twice.
TEST_CASE("a request that is not safe is sent once")
{
    const auto method = GENERATE(as<std::string>{}, "POST", "PUT", "DELETE", "PATCH");
    const bool with_body = GENERATE(true, false);
    const bool no_retry = GENERATE(true, false);
    // The first response leaves a reusable connection; the second request gets no response.
    client_fixture f{[](std::size_t i) { return raw_server::action{i == 1 ? "" : ok_response, i == 1}; }};
    REQUIRE(f.run("GET").ok);
    const auto result = f.run(method, with_body ? "order" : "", no_retry);
    CHECK_FALSE(result.ok);
    CHECK(result.reason.code == errc::connection_lost);
    CHECK(result.sent == delivery::maybe_sent);
    settle(f.io);
    CHECK(f.server.requests() == 2);
    // libcurl opens another connection before the callback can refuse to send; nothing may be sent on it.
    REQUIRE(f.server.connections() == 2);
    CHECK(f.server.received(1).empty() == !no_retry);
}

// Documents the behaviour of libcurl that the test above relies on: a GET is retried.
TEST_CASE("a GET on a reused connection that closes is retried by libcurl")
{
    client_fixture f{[](std::size_t i) { return raw_server::action{i == 1 ? "" : ok_response, i == 1}; }};
    REQUIRE(f.run("GET").ok);
    CHECK(f.run("GET").ok);
    CHECK(f.server.requests() == 3);
}

// Guards against a new connection for each request, and against no_retry reusing one.
TEST_CASE("connections are reused, except for requests that must not be retried")
{
    client_fixture f{[](std::size_t) { return raw_server::action{ok_response, false}; }};
    for (int i = 0; i < 3; ++i) {
        REQUIRE(f.run(i == 1 ? "POST" : "GET", i == 1 ? "b" : "").ok);
    }
    CHECK(f.server.connections() == 1);
    REQUIRE(f.run("POST", "b", true).ok);
    REQUIRE(f.run("POST", "b", true).ok);
    CHECK(f.server.connections() == 3);
    CHECK(run_until(f.io, [&] { return f.server.closed() == 2; }));
}

// Guards against forwarding truncated responses as complete.
TEST_CASE("a truncated or unframed response is a failure")
{
    const auto [answer, reason] = GENERATE(table<std::string, errc>({
        {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort", errc::truncated},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n", errc::truncated},
        {"HTTP/1.1 200 OK\r\n\r\nno length", errc::truncated},
        {"HTTP/1.0 200 OK\r\n\r\nno length", errc::truncated},
        {"HTTP/1.1 200 OK\r\nContent-Len", errc::truncated},
        {"", errc::connection_lost},
        {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nokk", errc::malformed},
        {"HTTP/1.1 200 OK\r\nContent-Length: 2, 3\r\n\r\nokk", errc::malformed},
        {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
         errc::malformed},
        {"garbage\r\n\r\n", errc::malformed},
    }));
    INFO(answer);
    client_fixture f{always(answer)};
    const auto result = f.run("POST", "b");
    CHECK_FALSE(result.ok);
    CHECK(result.reason.code == reason);
    CHECK(result.sent == delivery::maybe_sent);
    CHECK(f.server.requests() == 1);
}

// A server in trouble writes a blank or a control byte into the name of a field, or folds a line. Guards
// against a response that is passed on with such a line, or counts as complete by a length that libcurl
// ignores.
TEST_CASE("a response with a broken field name is malformed")
{
    const std::string field =
        GENERATE("X Note: v", "X-Note : v", "X\x01Note: v", "X\tNote: v", "X\x7fNote: v", ": v", "X-Note",
                 "A: b\r\nHTTP/1.1 : v", "A: b\r\n c", "A: b\r\n\tc: d", "Content-Length : 2",
                 "Content Length: 2", "Transfer-Encoding : chunked");
    const std::string length = GENERATE("Content-Length: 2\r\n", "");
    INFO(field << ", " << length);
    client_fixture f{always("HTTP/1.1 200 OK\r\n" + length + field + "\r\n\r\nok")};
    const auto result = f.run("POST", "b");
    INFO(result.reason.detail);
    CHECK_FALSE(result.ok);
    CHECK(result.reason.code == errc::malformed);
    CHECK(result.sent == delivery::maybe_sent);
}

// Guards against a field line that is taken for a part of the status line.
TEST_CASE("a response whose first field line is folded is a failure")
{
    const std::string blank = GENERATE(" ", "\t");
    client_fixture f{always("HTTP/1.1 200 OK\r\n" + blank + "A: b\r\nContent-Length: 2\r\n\r\nok")};
    CHECK_FALSE(f.run("POST", "b").ok);
}

// Guards against a body that lacks what a chunk has beyond its size.
TEST_CASE("a response with broken chunks is a failure")
{
    const std::string body = GENERATE("3\r\nabcXX0\r\n\r\n", "3\r\nabc\rX0\r\n\r\n", "3\rXabc\r\n0\r\n\r\n",
                                      "3\r\nabcd\r\n0\r\n\r\n", "3\r\nabc\r\n0\r\n\rX", "3\r\nabc\r\n0\r\n",
                                      "3\r\nabc\r\n", "\r\n3\r\nabc\r\n0\r\n\r\n", "x\r\n\r\n");
    INFO(body);
    client_fixture f{always("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body)};
    CHECK_FALSE(f.run("POST", "b").ok);
}

// Guards against trailers that count as fields of the head, or reset it.
TEST_CASE("trailers of a response are dropped")
{
    client_fixture f{always("HTTP/1.1 200 OK\r\nA: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
                            "B: 2\r\nContent-Length: 9\r\nHTTP/x: 1\r\n\r\n")};
    const auto result = f.run("GET");
    INFO(result.reason.detail);
    REQUIRE(result.ok);
    CHECK(result.response.body == "ok");
    REQUIRE(result.response.headers.size() == 1);
    CHECK(result.response.headers[0].value == "1");
}

// Guards against a response without a status that HTTP knows.
TEST_CASE("a response with a broken status is a failure")
{
    const std::string status =
        GENERATE("000", "001", "099", "600", "999", "20", "2 00", "0200", "2000", "20x");
    INFO(status);
    client_fixture f{always("HTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\nok")};
    CHECK_FALSE(f.run("POST", "b").ok);
}

// A target answers a health check without end. Guards against a call that keeps as much of its response as
// the largest of any call may have.
TEST_CASE("a call may bound its response")
{
    client_fixture f{always("HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n" + std::string(5000, 'x'))};
    auto call = make_call(f.server.address(), "GET", "/x");
    call.max_response = 4999;
    const auto bounded = complete(f.io, *f.client, call);
    CHECK_FALSE(bounded.ok);
    CHECK(bounded.reason.code == errc::too_large);
    call.max_response = 5000;
    CHECK(complete(f.io, *f.client, call).ok);
}

// Guards against rejecting responses that validly have no body.
TEST_CASE("responses without a body need no length")
{
    const int status = GENERATE(204, 304);
    client_fixture f{always("HTTP/1.1 " + std::to_string(status) + " X\r\n\r\n")};
    const auto result = f.run("GET");
    REQUIRE(result.ok);
    CHECK(result.response.status == status);
    client_fixture head{always("HTTP/1.1 200 OK\r\n\r\n")};
    CHECK(head.run("HEAD").ok);
}

// Guards against taking an interim response for the final one, and against following redirects.
TEST_CASE("interim responses are skipped and redirects returned")
{
    client_fixture f{[](std::size_t) {
        return raw_server::action{"HTTP/1.1 100 Continue\r\nX-A: 1\r\n\r\nHTTP/1.1 302 Found\r\nLocation: "
                                  "/other\r\nContent-Length: 2\r\n\r\nok",
                                  false};
    }};
    const auto result = f.run("GET");
    REQUIRE(result.ok);
    CHECK(result.response.status == 302);
    CHECK(find_header(result.response.headers, "x-a") == nullptr);
    CHECK(f.server.requests() == 1);
}

// Guards against delivering surplus bytes of one response to the next caller.
TEST_CASE("bytes beyond Content-Length never reach another call")
{
    client_fixture f{[](std::size_t) {
        return raw_server::action{ok_response + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother", false};
    }};
    for (int i = 0; i < 3; ++i) {
        const auto result = f.run("GET");
        REQUIRE(result.ok);
        CHECK(result.response.body == "ok");
    }
}

// Guards against a caller that waits forever.
TEST_CASE("an unresponsive server causes a timeout with an unknown outcome")
{
    client_fixture f{[](std::size_t) { return raw_server::action{"HTTP/1.1 200", false}; }};
    auto call = make_call(f.server.address(), "POST", "/x", "b");
    call.timeout = std::chrono::milliseconds{500};
    const auto result = complete(f.io, *f.client, std::move(call));
    CHECK(result.reason.code == errc::timeout);
    CHECK(result.sent == delivery::maybe_sent);
}

// Guards against reporting a request that was never sent as one that may have run.
TEST_CASE("a request on a refused connection is reported as not sent")
{
    asio::io_context io;
    std::string address;
    {
        raw_server gone{io, always("")};
        address = gone.address();
    }
    auto client = make_http_client(io, {});
    REQUIRE(client);
    const auto result = complete(io, **client, make_call(address, "POST", "/x", "b"));
    CHECK(result.reason.code == errc::unavailable);
    CHECK(result.sent == delivery::not_sent);
}

// Guards against reporting a request that waited for a free connection as possibly sent.
TEST_CASE("a call that times out waiting for a connection is reported as not sent")
{
    client_fixture f{[](std::size_t) { return raw_server::action{}; }, http_client_options{1, 1000}};
    bool first_done = false;
    const auto first = f.client->start(make_call(f.server.address(), "GET", "/hold"),
                                       [&first_done](const http_result&) { first_done = true; });
    REQUIRE(run_until(f.io, [&] { return f.server.requests() == 1; }));
    auto call = make_call(f.server.address(), "POST", "/x", "b");
    call.timeout = std::chrono::milliseconds{50};
    const auto result = complete(f.io, *f.client, std::move(call));
    CHECK(result.reason.code == errc::timeout);
    CHECK(result.sent == delivery::not_sent);
    f.client->cancel(first);
    CHECK(run_until(f.io, [&] { return first_done; }));
}

// Guards against work that continues after its caller has disconnected, and against completions that run
// twice.
TEST_CASE("cancel closes the connection and completes once")
{
    client_fixture f{[](std::size_t) { return raw_server::action{}; }};
    std::vector<http_result> results;
    const auto id = f.client->start(make_call(f.server.address(), "POST", "/x", "b"),
                                    [&results](http_result r) { results.push_back(std::move(r)); });
    REQUIRE(run_until(f.io, [&] { return f.server.requests() == 1; }));
    f.client->cancel(id);
    CHECK(results.empty());
    f.client->cancel(id);
    REQUIRE(run_until(f.io, [&] { return f.server.closed() == 1; }));
    REQUIRE(results.size() == 1);
    CHECK(results[0].reason.code == errc::cancelled);
    CHECK(results[0].sent == delivery::maybe_sent);
}

// Guards against a target that exhausts memory by Content-Length, by chunks or by headers.
TEST_CASE("a response beyond the limit is a failure")
{
    const auto answer = GENERATE(
        as<std::string>{}, "HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n" + std::string(1001, 'x'),
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n" + std::string(1001, 'x') +
            "\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Long: " + std::string(150'000, 'h') + "\r\n\r\nok");
    client_fixture f{always(answer), http_client_options{0, 1000}};
    const auto result = f.run("GET");
    CHECK_FALSE(result.ok);
    CHECK(result.sent == delivery::maybe_sent);
}

// Guards against requests smuggled through header values, methods or targets, and against DNS lookups.
TEST_CASE("a request that is not valid HTTP is rejected")
{
    client_fixture f{always(ok_response)};
    const std::function<void(http_call&)> spoil = GENERATE(
        as<std::function<void(http_call&)>>{},
        [](http_call& c) { c.request.method = "GET /evil HTTP/1.1\r\nX:"; },
        [](http_call& c) { c.request.target = "/x HTTP/1.1\r\nX: 1"; },
        [](http_call& c) {
            c.request.headers = {{"X-A", "1\r\nX-B: 2"}};
        },
        [](http_call& c) { c.address = "localhost:1"; }, [](http_call& c) { c.address = "127.0.0.1"; });
    auto call = make_call(f.server.address(), "GET", "/x");
    spoil(call);
    const auto result = complete(f.io, *f.client, std::move(call));
    CHECK(result.reason.code == errc::invalid_argument);
    CHECK(result.sent == delivery::not_sent);
    CHECK(f.server.requests() == 0);
}

// Guards against headers added by libcurl, and against proxy settings of the environment.
TEST_CASE("only the request's own headers are sent, to the address itself")
{
    ::setenv("http_proxy", "http://127.0.0.1:1/", 1);
    ::setenv("ALL_PROXY", "http://127.0.0.1:1/", 1);
    client_fixture f{[](std::size_t) { return raw_server::action{ok_response, false}; }};
    auto call = make_call(f.server.address(), "POST", "/x", std::string(3000, 'b'));
    call.request.headers = {{"X-Empty", ""}, {"traceparent", "00-1-2-01"}, {"Connection", "upgrade"}};
    const auto result = complete(f.io, *f.client, std::move(call));
    REQUIRE(result.ok);
    ::unsetenv("http_proxy");
    ::unsetenv("ALL_PROXY");
    const auto& sent = f.server.received(0);
    CHECK(sent.substr(0, sent.find("\r\n\r\n")) == "POST /x HTTP/1.1\r\nHost: " + f.server.address() +
                                                       "\r\nX-Empty:\r\ntraceparent: 00-1-2-01\r\n"
                                                       "Content-Length: 3000");
}

// Guards against use after destruction of a client, also from its own completion (AddressSanitizer detects
// it).
TEST_CASE("a client may be destroyed while calls are pending and inside a completion")
{
    client_fixture f{[](std::size_t i) { return raw_server::action{i == 0 ? "" : ok_response, false}; }};
    bool open_completed = false;
    f.client->start(make_call(f.server.address(), "GET", "/open"),
                    [&open_completed](const http_result&) { open_completed = true; });
    REQUIRE(run_until(f.io, [&] { return f.server.requests() == 1; }));
    bool done = false;
    f.client->start(make_call(f.server.address(), "GET", "/second"), [&](const http_result&) {
        f.client.reset();
        done = true;
    });
    REQUIRE(run_until(f.io, [&] { return done; }));
    settle(f.io);
    CHECK_FALSE(open_completed);
}
