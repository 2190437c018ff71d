#include "include/http/http_server.h"
#include "tests/http/raw_peer.h"

#include <catch2/catch.hpp>

#include <deque>

using namespace wagtailhatch;
using namespace wagtailhatch::test;

namespace {

/// A server that echoes requests, or keeps them in `open` for the test to respond to.
struct server_fixture {
    explicit server_fixture(const http_server_options& options = {}, bool echo = true)
    {
        auto made = make_http_server(io, options, [this, echo](std::shared_ptr<http_exchange> e) {
            ++handled;
            if (echo) {
                e->respond(http_response{200, {{"X-Target", e->request().target}}, e->request().body});
                return;
            }
            open.push_back(std::move(e));
        });
        REQUIRE(made);
        server = std::move(*made);
        auto client_made = make_http_client(io, {});
        REQUIRE(client_made);
        client = std::move(*client_made);
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(server->port()); }

    asio::io_context io;
    std::unique_ptr<http_server> server;
    std::unique_ptr<http_client> client;
    std::deque<std::shared_ptr<http_exchange>> open;
    int handled = 0;
};

std::size_t count(const std::string& text, const std::string& part)
{
    std::size_t out = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + part.size())) {
        ++out;
    }
    return out;
}

} // namespace

// Guards against lost bodies, altered request targets and headers that libcurl adds or drops.
TEST_CASE("a request and its response arrive complete")
{
    server_fixture f;
    auto call = make_call(f.address(), "POST", "/a/../b?x=%20#y", std::string(300'000, 'b'));
    const auto result = complete(f.io, *f.client, std::move(call));
    REQUIRE(result.ok);
    CHECK(result.response.status == 200);
    CHECK(result.response.body == std::string(300'000, 'b'));
    CHECK(*find_header(result.response.headers, "x-target") == "/a/../b?x=%20#y");
}

// Guards against closing the connection between requests, and against responses out of request order.
TEST_CASE("pipelined requests get their responses in order")
{
    server_fixture f{{}, false};
    raw_client raw{f.io, f.server->port()};
    raw.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(run_until(f.io, [&] { return f.open.size() == 2; }));
    f.open[1]->respond(http_response{200, {}, "second"});
    f.open[0]->respond(http_response{200, {}, "first"});
    REQUIRE(run_until(f.io, [&] { return raw.received().find("second") != std::string::npos; }));
    CHECK(raw.received().find("first") < raw.received().find("second"));
    raw.send("GET /3 HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(run_until(f.io, [&] { return f.open.size() == 3; }));
}

// Guards against work for disconnected callers: with one pipelined request RESTinio detects a disconnect too
// late.
TEST_CASE("a client that disconnects is detected before the response")
{
    server_fixture f{{}, false};
    raw_client raw{f.io, f.server->port()};
    raw.send("POST /slow HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok");
    REQUIRE(run_until(f.io, [&] { return f.open.size() == 1; }));
    int lost = 0;
    f.open[0]->on_disconnect([&lost] { ++lost; });
    raw.disconnect();
    CHECK(run_until(f.io, [&] { return lost == 1; }));
    f.open[0]->respond(http_response{});
    settle(f.io);
    CHECK(lost == 1);
}

// Guards against a caller that waits for the handler timeout because the handler dropped its request.
TEST_CASE("a dropped exchange gets a response")
{
    server_fixture f{{}, false};
    raw_client raw{f.io, f.server->port()};
    raw.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(run_until(f.io, [&] { return f.open.size() == 1; }));
    f.open.clear();
    CHECK(run_until(f.io, [&] { return raw.received().find("HTTP/1.1 500") == 0; }));
}

// Guards against requests cut off by a planned stop, and against open connections that keep adding work.
TEST_CASE("drain completes responses, rejects new requests and closes idle connections")
{
    server_fixture f{{}, false};
    raw_client busy{f.io, f.server->port()};
    raw_client idle{f.io, f.server->port()};
    raw_client partial{f.io, f.server->port()};
    busy.send("GET /busy HTTP/1.1\r\nHost: h\r\n\r\n");
    idle.send("GET /idle HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(run_until(f.io, [&] { return f.open.size() == 2; }));
    const bool first_is_busy = f.open[0]->request().target == "/busy";
    f.open[first_is_busy ? 1 : 0]->respond(http_response{200, {}, "done"});
    REQUIRE(run_until(f.io, [&] { return count(idle.received(), "done") == 1; }));
    partial.send("GET /partial HTTP/1.1\r\nHo");
    settle(f.io);

    f.server->drain();
    CHECK(run_until(f.io, [&] { return idle.ended(); }));
    CHECK_FALSE(busy.ended());
    partial.send("st: h\r\n\r\n");
    CHECK(run_until(f.io, [&] { return partial.ended(); }));
    CHECK(count(partial.received(), "HTTP/1.1 503") == 1);
    CHECK(count(partial.received(), "wh-outcome: not-run") == 1);
    CHECK(count(partial.received(), "Connection: close") == 1);

    busy.send("GET /more HTTP/1.1\r\nHost: h\r\n\r\n");
    settle(f.io);
    f.open[first_is_busy ? 0 : 1]->respond(http_response{200, {}, "whole answer"});
    CHECK(run_until(f.io, [&] { return busy.ended(); }));
    CHECK(count(busy.received(), "whole answer") == 1);
    CHECK(count(busy.received(), "HTTP/1.1 503") == 1);
    CHECK(f.handled == 2);
    asio::ip::tcp::socket late{f.io};
    std::error_code ec;
    late.connect({asio::ip::address_v4::loopback(), f.server->port()}, ec);
    CHECK(ec);
}

// Guards against truncating a large response whose exchange has already responded when the drain starts.
TEST_CASE("drain waits until a response is written completely")
{
    server_fixture f{{}, false};
    asio::ip::tcp::socket slow{f.io};
    slow.connect({asio::ip::address_v4::loopback(), f.server->port()});
    asio::write(slow, asio::buffer(std::string{"GET / HTTP/1.1\r\nHost: h\r\n\r\n"}));
    REQUIRE(run_until(f.io, [&] { return f.open.size() == 1; }));
    const std::size_t size = std::size_t{16} << 20;
    f.open[0]->respond(http_response{200, {}, std::string(size, 'x')});
    settle(f.io);
    f.server->drain();
    std::string received;
    bool ended = false;
    std::array<char, 65536> buffer{};
    std::function<void()> read = [&] {
        slow.async_read_some(asio::buffer(buffer), [&](std::error_code ec, std::size_t n) {
            received.append(buffer.data(), n);
            ended = static_cast<bool>(ec);
            if (!ec) {
                read();
            }
        });
    };
    read();
    CHECK(run_until(f.io, [&] { return ended; }));
    CHECK(received.size() > size);
}

// Guards against a sender without a key that exhausts memory or occupies connections.
TEST_CASE("oversized, incomplete and malformed requests close the connection unhandled")
{
    http_server_options options;
    options.read_timeout = std::chrono::milliseconds{300};
    options.max_body = 1000;
    server_fixture f{options};
    raw_client header{f.io, f.server->port()};
    raw_client body{f.io, f.server->port()};
    raw_client chunks{f.io, f.server->port()};
    raw_client half{f.io, f.server->port()};
    raw_client garbage{f.io, f.server->port()};
    raw_client many{f.io, f.server->port()};
    raw_client url{f.io, f.server->port()};
    std::string large = "GET / HTTP/1.1\r\nX-Long: ";
    large.resize(std::size_t{100} << 20, 'a');
    header.send(std::move(large));
    body.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n");
    chunks.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n" +
                std::string(1001, 'c') + "\r\n0\r\n\r\n");
    half.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nhalf");
    garbage.send(std::string("\x16\x03\x01\x00\xff\xfe not http\r\n\r\n", 19));
    std::string headers;
    for (int i = 0; i < 200; ++i) {
        headers += "X-" + std::to_string(i) + ": 1\r\n";
    }
    many.send("GET / HTTP/1.1\r\n" + headers + "\r\n");
    url.send("GET /" + std::string(20'000, 'u') + " HTTP/1.1\r\n\r\n");
    for (const auto* client : {&header, &body, &chunks, &half, &garbage, &many, &url}) {
        CHECK(run_until(f.io, [&] { return client->ended(); }));
        CHECK(client->received().find("200 OK") == std::string::npos);
    }
    CHECK(f.handled == 0);
}

// Guards against connections without timeouts: RESTinio stops its timeouts when a client requests an upgrade.
TEST_CASE("a request for a protocol upgrade is rejected")
{
    server_fixture f;
    raw_client raw{f.io, f.server->port()};
    raw.send("GET / HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n");
    CHECK(run_until(f.io, [&] { return raw.ended(); }));
    CHECK(raw.received().find("HTTP/1.1 400") == 0);
    CHECK(f.handled == 0);
}

// Guards against a request whose body ends elsewhere for another reader, as that may ignore such a line.
TEST_CASE("a request with a blank in the name of a field is rejected")
{
    for (const std::string lines :
         {"X Note: v\r\n\r\n", "X-Note : v\r\n\r\n", " X-Note: v\r\n\r\n", "Content Length: 3\r\n\r\n",
          "Content-Length : 3\r\n\r\nabc", "Transfer-Encoding : chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"}) {
        INFO(lines);
        server_fixture f;
        raw_client raw{f.io, f.server->port()};
        raw.send("POST / HTTP/1.1\r\n" + lines);
        CHECK(run_until(f.io, [&] { return raw.ended(); }));
        CHECK(raw.received().find("HTTP/1.1 400") == 0);
        CHECK(f.handled == 0);
    }
}

// Guards against response splitting by a header value of the target.
TEST_CASE("headers with line breaks are not sent")
{
    server_fixture f{{}, false};
    raw_client raw{f.io, f.server->port()};
    raw.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(run_until(f.io, [&] { return f.open.size() == 1; }));
    f.open[0]->respond(http_response{200,
                                     {{"X-Bad", "1\r\nSet-Cookie: stolen"},
                                      {"Content-Length", "7"},
                                      {"Set-Cookie", "a=1"},
                                      {"Set-Cookie", "b=2"}},
                                     "whole"});
    REQUIRE(run_until(f.io, [&] { return raw.received().find("whole") != std::string::npos; }));
    CHECK(count(raw.received(), "stolen") == 0);
    CHECK(count(raw.received(), "Content-Length: 5") == 1);
    CHECK(count(raw.received(), "Content-Length") == 1);
    CHECK(count(raw.received(), "Set-Cookie") == 2);
}

// Guards against a listen error that does not name the address.
TEST_CASE("a port in use is reported with its address")
{
    server_fixture f;
    http_server_options options;
    options.port = f.server->port();
    const auto second = make_http_server(f.io, options, [](const std::shared_ptr<http_exchange>&) {});
    REQUIRE_FALSE(second);
    CHECK(second.failure().message().find(f.address()) != std::string::npos);
}

// Guards against use of a destroyed server by connections that outlive it (AddressSanitizer detects it).
TEST_CASE("a server may be destroyed while requests are open")
{
    server_fixture f{{}, false};
    raw_client raw{f.io, f.server->port()};
    raw.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(run_until(f.io, [&] { return f.open.size() == 1; }));
    bool lost = false;
    f.open[0]->on_disconnect([&lost] { lost = true; });
    f.server.reset();
    CHECK(run_until(f.io, [&] { return lost && raw.ended(); }));
    f.open[0]->respond(http_response{});
}
