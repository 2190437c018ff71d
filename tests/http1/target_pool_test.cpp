#include "src/core/socket_address.h"
#include "src/http1/target_pool.h"
#include "tests/http/endless_server.h"
#include "tests/http/raw_peer.h"
#include "tests/http1/response_recorder.h"

#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <netinet/tcp.h>
#include <sys/socket.h>

using namespace wagtailhatch;
using namespace wagtailhatch::test;
using namespace std::chrono_literals;

namespace {

const std::string request = "GET / HTTP/1.1\r\n\r\n";

struct outcome {
    bool is_complete;
    std::string body;
    std::optional<target_failure> failure;
    bool reused; ///< The connection carries another request afterwards.
};

struct row {
    std::string description;
    std::string answer;
    bool close; ///< The target closes after its response.
    outcome expected;
};

const std::string ok = "HTTP/1.1 200 OK\r\nId: 1\r\n";

const std::vector<row> rows{
    {"a complete response", ok + "Content-Length: 3\r\n\r\nabc", false, {true, "abc", {}, true}},
    {"a complete chunked response",
     ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
     false,
     {true, "abc", {}, true}},
    {"surplus bytes", ok + "Content-Length: 3\r\n\r\nabcd", false, {true, "abc", {}, false}},
    {"a second response",
     ok + "Content-Length: 1\r\n\r\na" + ok + "Content-Length: 1\r\n\r\nb",
     false,
     {true, "a", {}, false}},
    {"a late response to an earlier request first",
     "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 1\r\n\r\nx" + ok + "Content-Length: 1\r\n\r\na",
     false,
     {true, "a", {}, false}},
    {"no length, ends with the connection", ok + "\r\nabc", true, {true, "abc", {}, false}},
    {"a short body",
     ok + "Content-Length: 9\r\n\r\nabc",
     true,
     {false, "abc", target_failure::truncated, false}},
    {"a truncated chunked body",
     ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
     true,
     {false, "abc", target_failure::truncated, false}},
    {"a truncated head", "HTTP/1.1 200 OK\r\nId", true, {false, "", target_failure::no_response, false}},
    {"no response", "", true, {false, "", target_failure::no_response, false}},
    {"only a response to an earlier request",
     "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 1\r\n\r\nx",
     true,
     {false, "", target_failure::no_response, false}},
    {"bytes that are not a response",
     "garbage\r\n\r\n",
     false,
     {false, "", target_failure::malformed_response, false}},
    {"an announced close",
     ok + "Connection: close\r\nContent-Length: 1\r\n\r\na",
     true,
     {true, "a", {}, false}},
};

} // namespace

// Guards against bytes that belong to no request, and against truncated responses that look complete.
TEST_CASE("responses of a target are classified")
{
    for (const auto& r : rows) {
        INFO(r.description);
        asio::io_context io{1};
        const manual_clock time;
        raw_server server{io, [&](std::size_t i) -> raw_server::action {
                              return i == 0 ? raw_server::action{r.answer, r.close}
                                            : raw_server::action{ok + "Content-Length: 0\r\n\r\n"};
                          }};
        target_pool pool{io, time, *parse_address(server.address())};
        const auto seen = std::make_shared<response_recorder>();
        pool.start({request}, seen);
        REQUIRE(run_until(io, [&] { return seen->over(); }));
        settle(io);
        CHECK(seen->ended == r.expected.is_complete);
        CHECK(seen->body == r.expected.body);
        CHECK(seen->failure == r.expected.failure);
        const auto next = std::make_shared<response_recorder>();
        pool.start({request}, next);
        REQUIRE(run_until(io, [&] { return next->over(); }));
        CHECK(server.connections() == (r.expected.reused ? 1 : 2));
        CHECK(next->ended);
    }
}

// A target rejects every request. Guards against memory that grows with the rejections of a kept connection,
// and against an attempt on a connection whose late bytes could be taken for its response.
TEST_CASE("a connection is not used for a request that did not succeed on it, and ends after many of those")
{
    asio::io_context io{1};
    const manual_clock time;
    raw_server server{io, [](std::size_t) {
                          return raw_server::action{"HTTP/1.1 503 X\r\nId: 1\r\nContent-Length: 0\r\n\r\n"};
                      }};
    target_pool pool{io, time, *parse_address(server.address())};
    const auto run = [&](std::uint64_t key) {
        const auto seen = std::make_shared<response_recorder>();
        target_request attempt{request};
        attempt.key = key;
        pool.start(std::move(attempt), seen);
        REQUIRE(run_until(io, [&] { return seen->over(); }));
        settle(io);
        CHECK(seen->status == 503);
        return server.connections();
    };
    CHECK(run(1) == 1);
    CHECK(run(2) == 1);
    CHECK(run(1) == 2);
    // Most recently used first: the second connection has not carried this one.
    CHECK(run(2) == 2);
    CHECK(run(2) == 3);
    for (std::uint64_t key = 10; key < 210; ++key) {
        run(key);
    }
    CHECK(server.connections() <= 8);
    CHECK(server.closed() >= 3);
}

// Guards against sending a request on a connection that the target is closing, in particular a request that
// must not be retried.
TEST_CASE("idle connections are reused only while the target keeps them open")
{
    asio::io_context io{1};
    manual_clock time;
    raw_server server{io, [&](std::size_t) {
                          return raw_server::action{ok +
                                                    "Keep-Alive: timeout=3\r\nContent-Length: 0\r\n\r\n"};
                      }};
    target_pool pool{io, time, *parse_address(server.address())};
    const auto run = [&](bool repeatable) {
        const auto seen = std::make_shared<response_recorder>();
        pool.start({request, false, repeatable}, seen);
        REQUIRE(run_until(io, [&] { return seen->over(); }));
        return server.connections();
    };
    CHECK(run(true) == 1);
    time.advance(2s);
    CHECK(run(true) == 1);
    time.advance(1s);
    CHECK(run(false) == 2);
    CHECK(run(false) == 2);
    time.advance(2500ms);
    CHECK(run(true) == 3);
    time.advance(10s);
    pool.close_expired();
    CHECK(pool.connections() == 0);
}

// Guards against a target that continues work on a cancelled request.
TEST_CASE("cancelling closes the connection and reports nothing")
{
    asio::io_context io{1};
    const manual_clock time;
    raw_server server{io, [&](std::size_t) { return raw_server::action{}; }};
    target_pool pool{io, time, *parse_address(server.address())};
    const auto seen = std::make_shared<response_recorder>();
    const auto connection = pool.start({request}, seen);
    REQUIRE(run_until(io, [&] { return server.requests() == 1; }));
    connection.lock()->cancel();
    CHECK(run_until(io, [&] { return server.closed() == 1; }));
    CHECK_FALSE(seen->over());
    CHECK(pool.connections() == 0);
}

// Guards against reporting a refused connection as a request that may have run.
TEST_CASE("a target that does not listen is distinguished from one that does not respond")
{
    asio::io_context io{1};
    const manual_clock time;
    asio::ip::tcp::acceptor closed{io, {asio::ip::address_v4::loopback(), 0}};
    const auto address = closed.local_endpoint();
    closed.close();
    target_pool pool{io, time, address};
    const auto seen = std::make_shared<response_recorder>();
    pool.start({request}, seen);
    REQUIRE(run_until(io, [&] { return seen->over(); }));
    CHECK(seen->failure == target_failure::refused);
}

// Guards against reading forever from a faulty target that sends an endless stream outside any valid
// response, and against heads that exhaust memory.
TEST_CASE("an endless stream that is not a response ends the exchange")
{
    struct endless {
        std::string description;
        std::string begin;
        std::string filler;
        target_failure expected;
    };
    const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
    for (const auto& r : std::vector<endless>{
             {"one header", ok + "X: ", "a", target_failure::malformed_response},
             {"headers", ok, "X: a\r\n", target_failure::malformed_response},
             {"interim responses", "HTTP/1.1 ", "100 Continue\r\n\r\nHTTP/1.1 ",
              target_failure::malformed_response},
             {"responses to earlier requests", "HTTP/1.1 ",
              "200 OK\r\nId: 0\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 ", target_failure::malformed_response},
             {"the body of a response to an earlier request", "HTTP/1.1 200 OK\r\nId: 0\r\n\r\n", "x",
              target_failure::malformed_response},
             {"a chunk's extension", chunked + "1;", "a", target_failure::truncated},
             {"trailers", chunked + "0\r\n", "X: a\r\n", target_failure::truncated}}) {
        INFO(r.description);
        asio::io_context io{1};
        const manual_clock time;
        endless_server server{io, r.begin, r.filler};
        target_pool pool{io, time, *parse_address(server.address())};
        const auto seen = std::make_shared<response_recorder>();
        pool.start({request}, seen);
        REQUIRE(run_until(io, [&] { return seen->over(); }));
        CHECK(seen->failure == r.expected);
        CHECK(run_until(io, [&] { return server.ended() == 1; }));
        CHECK(pool.connections() == 0);
    }
}

// A target that reads slowly, with a full receive buffer on a path with small segments, causes losses that
// are repaired while bytes still move. Guards against ending the upload as if the target were gone: a request
// that must not be repeated would fail after the target has read most of it.
TEST_CASE("a target that reads a long upload slowly but steadily gets all of it")
{
    constexpr std::size_t body_size = 150'000;
    constexpr std::size_t read_size = 2048;
    constexpr auto read_interval = 68ms; // About 30 kB a second, for 5 s.
    constexpr int receive_buffer = 16384;
    constexpr int ethernet_segment = 1448;
    asio::io_context io{1};
    const manual_clock time;
    asio::ip::tcp::acceptor target{io};
    target.open(asio::ip::tcp::v4());
    target.set_option(asio::socket_base::receive_buffer_size{receive_buffer});
    REQUIRE(setsockopt(target.native_handle(), IPPROTO_TCP, TCP_MAXSEG, &ethernet_segment,
                       sizeof ethernet_segment) == 0);
    target.bind({asio::ip::address_v4::loopback(), 0});
    target.listen();
    target_pool pool{io, time, target.local_endpoint()};
    const auto seen = std::make_shared<response_recorder>();
    target_request upload;
    upload.bytes = "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(body_size) + "\r\n\r\n";
    upload.body = std::string(body_size, 'x');
    const auto total = upload.bytes.size() + body_size;
    pool.start(std::move(upload), seen);
    io.run_for(read_interval);
    auto connection = target.accept();
    connection.non_blocking(true);
    std::array<char, read_size> buffer{};
    std::size_t received = 0;
    std::error_code ec;
    while (received < total && (!ec || ec == asio::error::would_block)) {
        io.restart();
        io.run_for(read_interval);
        pool.close_expired();
        received += connection.read_some(asio::buffer(buffer), ec);
    }
    INFO("received " << received << " error " << ec.message());
    CHECK(received == total);
    asio::write(connection, asio::buffer(ok + "Content-Length: 0\r\n\r\n"), ec);
    CHECK(run_until(io, [&] { return seen->over(); }));
    CHECK(seen->ended);
}
