#include "src/peer/frame.h"
#include "src/peer/psk_context.h"
#include "tests/peer/loopback.h"

#include <asio/ip/tcp.hpp>
#include <asio/ssl/stream.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include <optional>
#include <vector>

using namespace wagtailhatch;
using namespace wagtailhatch::test;
using asio::ip::tcp;

namespace {

constexpr std::chrono::seconds long_time{30};

struct two_peers {
    asio::io_context io;
    std::unique_ptr<peer_transport> a = start_peer(io);
    std::unique_ptr<peer_transport> b = start_peer(io);

    void echo()
    {
        b->set_handler(channel::call, [](const auto& request) { request->respond(request->payload()); });
    }

    peer_reply ask(std::string payload, duration timeout = long_time)
    {
        return ask(b->local_address(), std::move(payload), timeout);
    }

    peer_reply ask(const peer_address& to, std::string payload, duration timeout = long_time)
    {
        std::optional<peer_reply> reply;
        a->request(to, channel::call, std::move(payload), timeout, [&](peer_reply r) {
            CHECK_FALSE(reply);
            reply = std::move(r);
        });
        CHECK_FALSE(reply);
        REQUIRE(run_until(io, [&] { return reply.has_value(); }));
        return *reply;
    }
};

tcp::endpoint endpoint_of(const peer_transport& peer)
{
    const auto address = peer.local_address();
    return {asio::ip::make_address("127.0.0.1"),
            static_cast<std::uint16_t>(std::stoul(address.substr(address.rfind(':') + 1)))};
}

std::string address_of(const tcp::acceptor& acceptor)
{
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

/// Sends bytes to the peer without a handshake and waits until it closes the connection; the bytes it sent.
std::string talk_raw(two_peers& peers, const std::string& bytes)
{
    tcp::socket socket{peers.io};
    socket.connect(endpoint_of(*peers.b));
    asio::write(socket, asio::buffer(bytes));
    std::string received;
    std::string buffer(4096, '\0');
    bool closed = false;
    std::function<void()> read = [&] {
        socket.async_read_some(asio::buffer(buffer), [&](const std::error_code& failure, std::size_t n) {
            received.append(buffer, 0, n);
            closed = static_cast<bool>(failure);
            if (!closed) {
                read();
            }
        });
    };
    read();
    REQUIRE(run_until(peers.io, [&] { return closed; }));
    return received;
}

} // namespace

// Guards against lost or changed bodies and a wrong sender address.
TEST_CASE("peer request round trip")
{
    two_peers peers;
    peer_address from;
    peers.b->set_handler(channel::call, [&](const auto& request) {
        from = request->from();
        request->respond("answer to " + request->payload());
    });
    const auto reply = peers.ask("question");
    INFO(reply.failure.reason.message());
    CHECK(reply.ok);
    CHECK(reply.payload == "answer to question");
    CHECK(from == peers.a->local_address());
    CHECK(peers.ask("").payload == "answer to ");
}

// Guards against answers that reach the wrong request when the second is answered first.
TEST_CASE("peer answers out of order reach their own requests")
{
    two_peers peers;
    std::vector<std::shared_ptr<peer_request>> held;
    peers.b->set_handler(channel::call, [&](const auto& request) { held.push_back(request); });
    std::vector<std::string> answers(2);
    for (std::size_t i = 0; i < 2; ++i) {
        peers.a->request(peers.b->local_address(), channel::call, std::to_string(i), long_time,
                         [&answers, i](const peer_reply& r) { answers[i] = r.payload; });
    }
    REQUIRE(run_until(peers.io, [&] { return held.size() == 2; }));
    held[1]->respond("second");
    REQUIRE(run_until(peers.io, [&] { return !answers[1].empty(); }));
    CHECK(answers[0].empty());
    held[0]->respond("first");
    REQUIRE(run_until(peers.io, [&] { return !answers[0].empty(); }));
    CHECK(answers == std::vector<std::string>{"first", "second"});
}

// Guards against broken reassembly of frames that need many reads, and against bodies above the limit.
TEST_CASE("peer request with a large body")
{
    two_peers peers;
    peers.echo();
    std::string body(std::size_t{8} << 20, '\0');
    for (std::size_t i = 0; i < body.size(); ++i) {
        body[i] = static_cast<char>(i * 31);
    }
    const auto reply = peers.ask(body);
    CHECK(reply.ok);
    CHECK((reply.payload == body)); // Not printed.
    const auto refused = peers.ask(std::string(std::size_t{16} << 20, 'x'));
    CHECK(refused.failure.reason.code == errc::too_large);
    CHECK(refused.failure.sent == delivery::not_sent);
    CHECK(peers.ask("after").ok);
}

// Guards against many small and large frames mixed on one connection being joined wrongly.
TEST_CASE("peer requests in both directions at once")
{
    two_peers peers;
    std::size_t right = 0;
    std::size_t finished = 0;
    for (auto* peer : {peers.a.get(), peers.b.get()}) {
        peer->set_handler(channel::quota, [](const auto& request) { request->respond(request->payload()); });
    }
    const std::size_t count = 200;
    for (std::size_t i = 0; i < count; ++i) {
        auto& sender = i % 2 == 0 ? *peers.a : *peers.b;
        const auto& receiver = i % 2 == 0 ? *peers.b : *peers.a;
        const std::string body(i * 517, static_cast<char>('a' + i % 26));
        sender.request(receiver.local_address(), channel::quota, body, long_time,
                       [&, body](const peer_reply& r) {
                           right += r.ok && r.payload == body ? 1 : 0;
                           ++finished;
                       });
    }
    REQUIRE(run_until(peers.io, [&] { return finished == count; }));
    CHECK(right == count);
}

// Guards against a cancellation that does not reach the peer, and a completion that runs twice or inside
// cancel().
TEST_CASE("peer request cancelled")
{
    two_peers peers;
    std::shared_ptr<peer_request> held;
    int cancelled = 0;
    peers.b->set_handler(channel::call, [&](const auto& request) {
        held = request;
        request->on_cancel([&] { ++cancelled; });
    });
    std::vector<peer_reply> replies;
    const auto id = peers.a->request(peers.b->local_address(), channel::call, "q", long_time,
                                     [&](peer_reply r) { replies.push_back(std::move(r)); });
    REQUIRE(run_until(peers.io, [&] { return held != nullptr; }));
    peers.a->cancel(id);
    CHECK(replies.empty());
    REQUIRE(run_until(peers.io, [&] { return cancelled == 1 && replies.size() == 1; }));
    CHECK(replies[0].failure.reason.code == errc::cancelled);
    CHECK(replies[0].failure.sent == delivery::maybe_sent);
    held->respond("too late");
    peers.a->cancel(id);
    peers.echo();
    CHECK(peers.ask("next").ok);
    CHECK(replies.size() == 1);
}

// Guards against a request without an answer that waits for ever, or is reported as not sent.
TEST_CASE("peer request times out, is dropped, or has no handler")
{
    two_peers peers;
    CHECK(peers.ask("no handler").failure.reason.code == errc::unavailable);
    std::shared_ptr<peer_request> held;
    peers.b->set_handler(channel::call, [&](const auto& request) { held = request; });
    const auto late = peers.ask("held", std::chrono::milliseconds{50});
    CHECK(late.failure.reason.code == errc::timeout);
    CHECK(late.failure.sent == delivery::maybe_sent);
}

// Guards against a peer with another secret getting through.
TEST_CASE("peer with a wrong secret")
{
    two_peers peers;
    peers.echo();
    peer_options options;
    options.secret = "another secret of the same length..";
    const auto stranger = start_peer(peers.io, options);
    bool answered = false;
    std::optional<peer_reply> reply;
    peers.b->set_handler(channel::call, [&](const auto&) { answered = true; });
    stranger->request(peers.b->local_address(), channel::call, "q", long_time,
                      [&](peer_reply r) { reply = std::move(r); });
    REQUIRE(run_until(peers.io, [&] { return reply.has_value(); }));
    CHECK_FALSE(reply->ok);
    CHECK(reply->failure.sent == delivery::not_sent);
    CHECK_FALSE(answered);
}

// Guards against plain or damaged bytes holding a connection or disturbing others.
TEST_CASE("peer listener closes connections that send garbage")
{
    two_peers peers;
    peers.echo();
    std::string garbage(2000, '\x5a');
    CHECK(talk_raw(peers, garbage).size() <= 7); // At most a TLS alert record.
    CHECK(talk_raw(peers, std::string{"\x16\x03\x01\xff\xff", 5} + garbage).size() <= 7);
    CHECK(peers.ask("still here").ok);
}

// Guards against a length from the wire making the process allocate, even when the sender has the secret.
TEST_CASE("peer closes a connection that announces an oversized frame")
{
    two_peers peers;
    peers.echo();
    psk_context tls{shared_secret};
    asio::ssl::stream<tcp::socket> stream{peers.io, tls.context()};
    stream.lowest_layer().connect(endpoint_of(*peers.b));
    std::string bytes;
    SECTION("before its hello")
    {
        bytes = std::string{"\0\0\x10\0", 4};
    }
    SECTION("after its hello")
    {
        bytes = encode_frame(frame_type::hello, 1, 1, "127.0.0.1:1") + std::string{"\xff\xff\xff\xff", 4};
    }
    SECTION("with a malformed frame")
    {
        bytes = std::string{"\0\0\0\2\1\x20", 6};
    }
    std::string received(1024, '\0');
    bool closed = false;
    std::function<void()> read = [&] {
        stream.async_read_some(asio::buffer(received), [&](const std::error_code& failure, std::size_t) {
            closed = static_cast<bool>(failure);
            if (!closed) {
                read();
            }
        });
    };
    stream.async_handshake(asio::ssl::stream_base::client, [&](const std::error_code& failure) {
        REQUIRE_FALSE(failure);
        asio::async_write(stream, asio::buffer(bytes), [](const std::error_code&, std::size_t) {});
        read();
    });
    CHECK(run_until(peers.io, [&] { return closed; }));
    CHECK(peers.ask("still here").ok);
}

// Guards against connections that never prove anything holding resources.
TEST_CASE("peer listener closes silent connections")
{
    two_peers peers;
    peer_options options;
    options.handshake_timeout = std::chrono::milliseconds{100};
    options.max_unauthenticated = 2;
    peers.b = start_peer(peers.io, options);
    peers.echo();
    std::vector<tcp::socket> silent;
    for (int i = 0; i < 5; ++i) {
        silent.emplace_back(peers.io);
        silent.back().connect(endpoint_of(*peers.b));
    }
    CHECK(peers.ask("in spite of them").ok);
    std::size_t closed = 0;
    char byte = 0;
    for (auto& socket : silent) {
        socket.async_read_some(asio::buffer(&byte, 1), [&](const std::error_code& failure, std::size_t) {
            closed += failure ? 1 : 0;
        });
    }
    CHECK(run_until(peers.io, [&] { return closed == silent.size(); }));
}

// Guards against waiting for ever on a peer that accepts and says nothing.
TEST_CASE("peer that accepts and never answers")
{
    two_peers peers;
    peer_options options;
    options.handshake_timeout = std::chrono::milliseconds{100};
    peers.a = start_peer(peers.io, options);
    tcp::acceptor silent{peers.io, {asio::ip::make_address("127.0.0.1"), 0}};
    peer_address lost;
    peers.a->on_peer_lost([&](const peer_address& p) { lost = p; });
    const auto reply = peers.ask(address_of(silent), "q");
    CHECK(reply.failure.reason.code == errc::timeout);
    CHECK(reply.failure.sent == delivery::not_sent);
    CHECK(run_until(peers.io, [&] { return lost == address_of(silent); }));
}

// Guards against a refused connection being reported as possibly run.
TEST_CASE("peer refuses connections")
{
    two_peers peers;
    tcp::acceptor closed{peers.io, {asio::ip::make_address("127.0.0.1"), 0}};
    const auto address = address_of(closed);
    closed.close();
    const auto reply = peers.ask(address, "q");
    CHECK(reply.failure.reason.code == errc::unavailable);
    CHECK(reply.failure.sent == delivery::not_sent);
    CHECK(peers.ask("not an address", "q").failure.reason.code == errc::invalid_argument);
}

// Guards against "not run" being claimed for a request that a lost peer may have run.
TEST_CASE("peer lost with a request outstanding, and restarted")
{
    two_peers peers;
    bool arrived = false;
    std::shared_ptr<peer_request> held;
    peers.b->set_handler(channel::call, [&](const auto& request) {
        held = request;
        arrived = true;
    });
    std::optional<peer_reply> reply;
    peers.a->request(peers.b->local_address(), channel::call, "q", long_time,
                     [&](peer_reply r) { reply = std::move(r); });
    REQUIRE(run_until(peers.io, [&] { return arrived; }));
    peer_options again;
    again.port = endpoint_of(*peers.b).port();
    peers.b.reset();
    REQUIRE(run_until(peers.io, [&] { return reply.has_value(); }));
    CHECK(reply->failure.reason.code == errc::connection_lost);
    CHECK(reply->failure.sent == delivery::maybe_sent);
    peers.b = start_peer(peers.io, again);
    REQUIRE(peers.b);
    peers.echo();
    CHECK(peers.ask("after the restart").ok);
}

// Guards against an open connection that went silent holding requests for their whole timeout.
TEST_CASE("peer whose process stops answering pings")
{
    asio::io_context paused_loop;
    two_peers peers;
    peer_options options;
    options.ping_interval = std::chrono::milliseconds{50};
    peers.a = start_peer(peers.io, options);
    auto paused = start_peer(paused_loop);
    bool arrived = false;
    std::shared_ptr<peer_request> held;
    paused->set_handler(channel::call, [&](const auto& request) {
        held = request;
        arrived = true;
    });
    std::optional<peer_reply> reply;
    peers.a->request(paused->local_address(), channel::call, "q", long_time,
                     [&](peer_reply r) { reply = std::move(r); });
    // The other process runs until it has the connection, then stops.
    REQUIRE(run_until(peers.io, [&] {
        if (!arrived) {
            paused_loop.restart();
            paused_loop.poll();
        }
        return arrived;
    }));
    REQUIRE(run_until(peers.io, [&] { return reply.has_value(); }));
    CHECK(reply->failure.reason.code == errc::connection_lost);
    CHECK(reply->failure.sent == delivery::maybe_sent);
}

// Guards against a planned stop that cuts a request in flight.
TEST_CASE("peer shutdown waits for requests in flight")
{
    two_peers peers;
    std::shared_ptr<peer_request> held;
    peers.b->set_handler(channel::call, [&](const auto& request) { held = request; });
    std::optional<peer_reply> reply;
    peers.a->request(peers.b->local_address(), channel::call, "q", long_time,
                     [&](peer_reply r) { reply = std::move(r); });
    REQUIRE(run_until(peers.io, [&] { return held != nullptr; }));
    bool closed = false;
    bool lost = false;
    peers.a->on_peer_lost([&](const peer_address&) { lost = true; });
    peers.b->shutdown([&] { closed = true; });
    std::optional<peer_reply> refused;
    peers.b->request(peers.a->local_address(), channel::call, "q", long_time,
                     [&](peer_reply r) { refused = std::move(r); });
    REQUIRE(run_until(peers.io, [&] { return refused.has_value(); }));
    CHECK(refused->failure.reason.code == errc::shutting_down);
    CHECK_FALSE(closed);
    held->respond("whole");
    REQUIRE(run_until(peers.io, [&] { return closed && reply.has_value(); }));
    CHECK(reply->payload == "whole");
    CHECK_FALSE(lost);
}

// Guards against a start that goes on with settings that cannot work.
TEST_CASE("peer transport refuses unusable settings")
{
    asio::io_context io;
    const system_clock_source time;
    peer_options options;
    options.secret = "short";
    CHECK(make_peer_transport(io, time, options).failure().code == errc::invalid_argument);
    options.secret = shared_secret;
    options.listen_address = "localhost";
    CHECK(make_peer_transport(io, time, options).failure().code == errc::invalid_argument);
    options.listen_address = "127.0.0.1";
    options.advertised_address = "nowhere";
    CHECK(make_peer_transport(io, time, options).failure().code == errc::invalid_argument);
    options.advertised_address = "127.0.0.2";
    const auto first = make_peer_transport(io, time, options);
    REQUIRE(first);
    const auto address = first.value()->local_address();
    CHECK(address.substr(0, 10) == "127.0.0.2:");
    options.port = static_cast<std::uint16_t>(std::stoul(address.substr(10)));
    CHECK(make_peer_transport(io, time, options).failure().code == errc::unavailable);
}
