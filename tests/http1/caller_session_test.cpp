#include "src/http1/caller_session.h"
#include "tests/http/raw_peer.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <netinet/tcp.h>
#include <set>

using namespace wagtailhatch;
using namespace wagtailhatch::test;
using namespace std::chrono_literals;

namespace {

/// A listener whose sessions pass their requests to the test.
class session_host final : public caller_session_owner {
public:
    explicit session_host(asio::io_context& io)
        : acceptor_{io, {asio::ip::address_v4::loopback(), 0}}
    {
        accept();
    }
    session_host(const session_host&) = delete;
    session_host& operator=(const session_host&) = delete;
    ~session_host() override
    {
        for (const auto& s : std::set<std::shared_ptr<caller_session>>{sessions}) {
            s->close();
        }
    }

    void on_request(std::shared_ptr<caller_exchange> exchange) override
    {
        requests.push_back(std::move(exchange));
    }
    void on_request_abandoned(const caller_exchange&) override { ++abandoned; }
    const caller_limits& limits() const override { return bounds; }
    bool draining() const override { return stopping; }
    body_budgets& body_memory() override { return memory; }
    const wagtailhatch::clock& time() const override { return now; }
    void on_session_end(caller_session* session) override
    {
        std::erase_if(sessions, [&](const auto& s) { return s.get() == session; });
    }
    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

    manual_clock now;
    caller_limits bounds;
    body_budgets memory{std::size_t{1} << 20};
    std::vector<std::shared_ptr<caller_exchange>> requests;
    std::set<std::shared_ptr<caller_session>> sessions;
    std::size_t accepted = 0;
    std::size_t abandoned = 0;
    bool stopping = false;

private:
    void accept()
    {
        acceptor_.async_accept([this](const std::error_code& ec, asio::ip::tcp::socket socket) {
            if (ec) {
                return;
            }
            auto session = std::make_shared<caller_session>(std::move(socket),
                                                            static_cast<caller_session_owner&>(*this));
            sessions.insert(session);
            ++accepted;
            session->start();
            accept();
        });
    }

    asio::ip::tcp::acceptor acceptor_;
};

std::string get(const std::string& path)
{
    return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
}

struct fixture {
    asio::io_context io{1};
    session_host host{io};

    bool wait(const std::function<bool()>& condition) { return run_until(io, condition); }
};

} // namespace

// Guards against responses that are delivered for another request of the same connection.
TEST_CASE("pipelined responses are sent in request order, whichever is ready first")
{
    fixture f;
    raw_client client{f.io, f.host.port()};
    client.send(get("/1") + get("/2") + get("/3"));
    REQUIRE(f.wait([&] { return f.host.requests.size() == 3; }));
    f.host.requests[2]->respond({200, {}, "three"});
    f.host.requests[1]->respond({200, {}, "two"});
    settle(f.io);
    CHECK(client.received().empty());
    f.host.requests[0]->respond({200, {}, "one"});
    REQUIRE(f.wait([&] { return client.received().find("three") != std::string::npos; }));
    CHECK(client.received().find("one") < client.received().find("two"));
    CHECK(client.received().find("two") < client.received().find("three"));
}

// Guards against work that continues after its caller has disconnected.
TEST_CASE("a caller that disconnects is detected while its request runs")
{
    fixture f;
    raw_client client{f.io, f.host.port()};
    client.send(get("/1"));
    REQUIRE(f.wait([&] { return f.host.requests.size() == 1; }));
    bool disconnected = false;
    f.host.requests[0]->on_disconnect([&] { disconnected = true; });
    client.disconnect();
    CHECK(f.wait([&] { return disconnected; }));
    CHECK(f.host.requests[0]->disconnected());
    CHECK(f.host.sessions.empty());
}

// Guards against starting work for a caller that has already disconnected, as happens under overload: the
// request and the following close arrive while the node does not read, and are then read one after the other.
TEST_CASE("a request whose caller has already closed the connection is not started")
{
    fixture f;
    asio::ip::tcp::socket caller{f.io};
    caller.connect({asio::ip::address_v4::loopback(), f.host.port()});
    asio::write(caller, asio::buffer(get("/1")));
    caller.close();
    REQUIRE(f.wait([&] { return f.host.accepted > 0 && f.host.sessions.empty(); }));
    CHECK(f.host.requests.empty());
    CHECK(f.host.abandoned == 1);
}

// Guards against work that continues after its caller has disconnected: the close went undetected while
// reading was paused because the caller had sent more requests than are read ahead.
TEST_CASE("a caller that disconnects is detected while reading is paused by pipelined requests")
{
    fixture f;
    raw_client client{f.io, f.host.port()};
    std::string many;
    for (int i = 0; i < 100; ++i) {
        many += get("/" + std::to_string(i));
    }
    client.send(many);
    REQUIRE(f.wait([&] { return f.host.requests.size() >= 32; }));
    settle(f.io);
    client.disconnect();
    settle(f.io);
    for (const auto& s : std::set<std::shared_ptr<caller_session>>{f.host.sessions}) {
        s->check(f.host.now.now());
    }
    CHECK(f.host.sessions.empty());
    CHECK(std::all_of(f.host.requests.begin(), f.host.requests.end(),
                      [](const auto& exchange) { return exchange->disconnected(); }));
}

// Guards against metrics that do not distinguish idle from active connections.
TEST_CASE("a session reports the state of its connection")
{
    fixture f;
    raw_client client{f.io, f.host.port()};
    REQUIRE(f.wait([&] { return f.host.sessions.size() == 1; }));
    const auto session = *f.host.sessions.begin();
    CHECK(session->state() == session_state::idle);
    client.send("GET /1 HTTP/1.1\r\n");
    CHECK(f.wait([&] { return session->state() == session_state::reading; }));
    client.send("Connection: close\r\n\r\n");
    CHECK(f.wait([&] { return session->state() == session_state::answering; }));
    f.host.requests.at(0)->respond({200, {}, "one"});
    CHECK(session->state() == session_state::closing);
}

// Guards against request bodies that are altered while they are read.
TEST_CASE("bodies are read completely, by length and in chunks")
{
    fixture f;
    raw_client client{f.io, f.host.port()};
    client.send(
        "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello"
        "POST /2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n");
    REQUIRE(f.wait([&] { return f.host.requests.size() == 2; }));
    CHECK(f.host.requests[0]->request.body == "hello");
    CHECK(f.host.requests[1]->request.body == "abcde");
    CHECK(find_header(f.host.requests[1]->request.headers, "Transfer-Encoding") == nullptr);
}

// Guards against callers that send more, or more slowly, than the configured limits allow.
TEST_CASE("requests beyond the limits are rejected and their connection is closed")
{
    struct row {
        std::string bytes;
        std::string status;
    };
    for (const auto& r : std::vector<row>{
             {"GET / HTTP/1.1\r\nX: " + std::string(3000, 'x') + "\r\n\r\n", " 431 "},
             {"POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n", " 413 "},
             {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" + std::string(101, 'x') + "\r\n",
              " 413 "},
             {"nonsense\r\n\r\n", " 400 "}}) {
        INFO(r.bytes.substr(0, 60));
        fixture f;
        f.host.bounds.max_header_bytes = 2000;
        f.host.bounds.max_body_bytes = 100;
        raw_client client{f.io, f.host.port()};
        client.send(r.bytes);
        CHECK(f.wait([&] { return client.received().find(r.status) != std::string::npos; }));
        CHECK(f.wait([&] { return client.ended(); }));
        CHECK(f.host.requests.empty());
    }
}

// Guards against connections that hold memory forever, and against closing one that callers still reuse.
TEST_CASE("incomplete requests and idle connections time out")
{
    fixture f;
    raw_client half{f.io, f.host.port()};
    half.send("GET / HTTP/1.1\r\nHo");
    raw_client idle{f.io, f.host.port()};
    idle.send(get("/1"));
    REQUIRE(f.wait([&] { return f.host.requests.size() == 1 && f.host.sessions.size() == 2; }));
    f.host.requests[0]->respond({200, {}, "ok"});
    settle(f.io);
    const auto check = [&] {
        for (const auto& s : std::set<std::shared_ptr<caller_session>>{f.host.sessions}) {
            s->check(f.host.now.now());
        }
    };
    f.host.now.advance(f.host.bounds.header_timeout + 1ms);
    check();
    CHECK(f.wait([&] { return half.received().find(" 408 ") != std::string::npos; }));
    f.host.now.set(f.host.now.now() + f.host.bounds.idle_timeout * 4 / 5 - f.host.bounds.header_timeout);
    check();
    settle(f.io);
    CHECK_FALSE(idle.ended());
    f.host.now.advance(f.host.bounds.idle_timeout);
    check();
    CHECK(f.wait([&] { return idle.ended(); }));
}

// Guards against buffering a whole large response for a caller that reads slowly.
TEST_CASE("parts of a response are sent as they are written, and progress is reported")
{
    fixture f;
    raw_client client{f.io, f.host.port()};
    client.send(get("/big"));
    REQUIRE(f.wait([&] { return f.host.requests.size() == 1; }));
    std::size_t progress = 0;
    auto& exchange = *f.host.requests[0];
    exchange.on_progress([&](std::size_t n) { progress += n; });
    exchange.start({200, {{"X-A", "b"}}, {}}, std::nullopt);
    exchange.write("first");
    REQUIRE(f.wait([&] { return client.received().find("5\r\nfirst\r\n") != std::string::npos; }));
    CHECK(progress == 5);
    exchange.write("second");
    exchange.finish();
    CHECK(f.wait([&] { return client.received().find("6\r\nsecond\r\n0\r\n\r\n") != std::string::npos; }));
    CHECK(progress == 11);
}

// Guards against a truncated response that looks complete to its caller.
TEST_CASE("an aborted response closes its connection without the last chunk")
{
    fixture f;
    raw_client client{f.io, f.host.port()};
    client.send(get("/big"));
    REQUIRE(f.wait([&] { return f.host.requests.size() == 1; }));
    f.host.requests[0]->start({200, {}, {}}, std::nullopt);
    f.host.requests[0]->write("first");
    f.host.requests[0]->abort();
    CHECK(f.wait([&] { return client.ended(); }));
    CHECK(client.received().find("0\r\n\r\n") == std::string::npos);
}

// Guards against a stop that closes connections with requests in progress, and against callers that keep
// using a stopping node.
TEST_CASE("a stopping node announces the close of a connection with its last response")
{
    fixture f;
    raw_client client{f.io, f.host.port()};
    client.send(get("/1") + get("/2"));
    REQUIRE(f.wait([&] { return f.host.requests.size() == 2; }));
    f.host.stopping = true;
    f.host.requests[0]->respond({200, {}, "one"});
    settle(f.io);
    CHECK_FALSE(client.ended());
    f.host.requests[1]->respond({200, {}, "two"});
    CHECK(f.wait([&] { return client.ended(); }));
    const auto close = client.received().find("Connection: close");
    CHECK(close > client.received().find("one"));
    CHECK(client.received().find("two") > close);
}

// A stopping node announces the close in the head of a streamed response, and its caller sends further
// requests before it has read that head. Guards against starting those requests, which no response can
// follow: their targets ran them and the answers were dropped.
TEST_CASE("no request is started behind a streamed response that closes the connection")
{
    fixture f;
    raw_client client{f.io, f.host.port()};
    client.send(get("/1"));
    REQUIRE(f.wait([&] { return f.host.requests.size() == 1; }));
    f.host.stopping = true;
    f.host.requests[0]->start({200, {}, {}}, 4);
    client.send(get("/2") + get("/3"));
    settle(f.io);
    CHECK(f.host.requests.size() == 1);
    f.host.requests[0]->write("body");
    f.host.requests[0]->finish();
    CHECK(f.wait([&] { return client.ended(); }));
    CHECK(client.received().find("Connection: close") != std::string::npos);
    CHECK(client.received().ends_with("body"));
    CHECK(f.host.requests.size() == 1);
}

// A caller with a small receive buffer reads a large response steadily for longer than an unresponsive peer
// is tolerated. Guards against ending a connection that moves: 24 requests behind such responses had run and
// were never answered.
TEST_CASE("a caller that reads slowly but steadily gets its whole response")
{
    constexpr std::size_t response_size = 150'000;
    constexpr std::size_t read_size = 2048;
    constexpr auto read_interval = 68ms; // About 30 kB a second, for 5 s.
    constexpr int receive_buffer = 16384;
    constexpr int ethernet_segment = 1448;
    fixture f;
    asio::ip::tcp::socket caller{f.io};
    caller.open(asio::ip::tcp::v4());
    caller.set_option(asio::socket_base::receive_buffer_size{receive_buffer});
    REQUIRE(setsockopt(caller.native_handle(), IPPROTO_TCP, TCP_MAXSEG, &ethernet_segment,
                       sizeof ethernet_segment) == 0);
    caller.connect({asio::ip::address_v4::loopback(), f.host.port()});
    asio::write(caller, asio::buffer(get("/1")));
    REQUIRE(f.wait([&] { return f.host.requests.size() == 1; }));
    f.host.requests[0]->respond({200, {}, std::string(response_size, 'x')});
    caller.non_blocking(true);
    std::array<char, read_size> buffer{};
    std::size_t received = 0;
    std::error_code ec;
    while (received < response_size && (!ec || ec == asio::error::would_block)) {
        f.io.run_for(read_interval);
        f.io.restart();
        for (const auto& s : std::set<std::shared_ptr<caller_session>>{f.host.sessions}) {
            s->check(f.host.now.now());
        }
        received += caller.read_some(asio::buffer(buffer), ec);
    }
    INFO("received " << received << " error " << ec.message());
    CHECK(received >= response_size);
}

// Guards against a second response to one request, and against body memory that is never released.
TEST_CASE("only the first response is sent, and the memory of bodies is released")
{
    fixture f;
    raw_client client{f.io, f.host.port()};
    client.send("POST /1 HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello");
    REQUIRE(f.wait([&] { return f.host.requests.size() == 1; }));
    CHECK(f.host.memory.small.used() == 5 * body_budgets::copies);
    auto taken = std::move(f.host.requests[0]->request);
    f.host.requests[0]->respond({200, {}, "yes"});
    f.host.requests[0]->respond({500, {}, "no"});
    CHECK(f.wait([&] { return client.received().find("yes") != std::string::npos; }));
    settle(f.io);
    CHECK(client.received().find("no") == std::string::npos);
    CHECK(f.host.memory.small.used() == 0);
    memory_reservation others{f.host.memory.small};
    REQUIRE(others.grow(f.host.memory.small.limit()));
    client.send("POST /2 HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello");
    CHECK(f.wait([&] { return client.received().find(" 503 ") != std::string::npos; }));
}

// Guards against a process that is killed because several large bodies together exceed its memory, and
// against refusing small requests, or a single body of any allowed size, for it.
TEST_CASE("large bodies share a memory budget; small ones and a single large one are always accepted")
{
    fixture f;
    const auto limit = f.host.memory.large.limit();
    const auto upload = [](std::size_t size) {
        return "POST /1 HTTP/1.1\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n" +
               std::string(size, 'x');
    };
    raw_client first{f.io, f.host.port()};
    first.send(upload(limit));
    REQUIRE(f.wait([&] { return f.host.requests.size() == 1; }));
    CHECK(f.host.memory.large.used() == limit * body_budgets::copies);
    raw_client second{f.io, f.host.port()};
    second.send(upload(body_budgets::max_small_body + 1));
    CHECK(f.wait([&] { return second.received().find(" 503 ") != std::string::npos; }));
    raw_client small{f.io, f.host.port()};
    small.send(upload(body_budgets::max_small_body));
    CHECK(f.wait([&] { return f.host.requests.size() == 2; }));
    f.host.requests[0]->respond({200, {}, "yes"});
    REQUIRE(f.wait([&] { return f.host.memory.large.used() == 0; }));
    raw_client third{f.io, f.host.port()};
    third.send(upload(body_budgets::max_small_body + 1));
    CHECK(f.wait([&] { return f.host.requests.size() == 3; }));
}

// Guards against a response to a caller of HTTP/1.0 that announces chunks it doesn't have.
TEST_CASE("a response without a length to HTTP/1.0 ends with the connection")
{
    fixture f;
    raw_client client{f.io, f.host.port()};
    client.send("GET /1 HTTP/1.0\r\n\r\n");
    REQUIRE(f.wait([&] { return f.host.requests.size() == 1; }));
    const auto& exchange = f.host.requests[0];
    exchange->start({200, {{"A", "b"}}, {}}, {});
    const std::string body(300'000, 'x');
    exchange->write(body);
    exchange->finish();
    REQUIRE(f.wait([&] { return client.ended(); }));
    CHECK_FALSE(client.broken());
    CHECK(client.received() == "HTTP/1.1 200 OK\r\nA: b\r\nConnection: close\r\n\r\n" + body);
}

// Guards against a cut response that looks complete to its caller, as the body ends with the connection
// (MIXED).
TEST_CASE("a cut response to HTTP/1.0 ends with a reset")
{
    enum class cut : std::uint8_t { aborted, session_ended, closed };
    const auto how = GENERATE(cut::aborted, cut::session_ended, cut::closed);
    const std::string body(GENERATE(std::size_t{3}, std::size_t{8'000'000}), 'x');
    INFO(static_cast<int>(how) << ", " << body.size() << " bytes");
    fixture f;
    raw_client client{f.io, f.host.port()};
    client.send("GET /1 HTTP/1.0\r\n\r\n");
    REQUIRE(f.wait([&] { return f.host.requests.size() == 1; }));
    const auto exchange = f.host.requests[0];
    const auto session = *f.host.sessions.begin();
    exchange->start({200, {}, {}}, {});
    exchange->write(body);
    REQUIRE(f.wait([&] { return !client.received().empty(); }));
    if (how == cut::aborted) {
        exchange->abort();
    }
    else if (how == cut::session_ended) {
        session->end();
    }
    else {
        session->close();
    }
    REQUIRE(f.wait([&] { return client.ended(); }));
    CHECK(client.broken());
}

// Guards against resets in front of callers to whom the response itself tells that it is cut off: a reset may
// discard bytes in transit.
TEST_CASE("a cut response in chunks or with a length ends without a reset")
{
    const auto length = GENERATE(std::optional<std::uint64_t>{}, std::optional<std::uint64_t>{10});
    fixture f;
    raw_client client{f.io, f.host.port()};
    client.send(get("/1"));
    REQUIRE(f.wait([&] { return f.host.requests.size() == 1; }));
    const auto exchange = f.host.requests[0];
    exchange->start({200, {}, {}}, length);
    exchange->write("part");
    exchange->abort();
    REQUIRE(f.wait([&] { return client.ended(); }));
    CHECK_FALSE(client.broken());
    CHECK(client.received().find("part") != std::string::npos);
    CHECK(client.received().find("\r\n0\r\n\r\n") == std::string::npos);
}
