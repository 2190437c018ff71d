#include "include/peer/make_datagram_transport.h"
#include "src/peer/datagram.h"
#include "src/peer/replay_window.h"
#include "tests/peer/loopback.h"

#include <asio/ip/udp.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <set>
#include <vector>

using namespace wagtailhatch;
using namespace wagtailhatch::test;

namespace {

std::unique_ptr<datagram_transport> open(asio::io_context& io, const std::string& secret = shared_secret)
{
    static const system_clock_source time;
    datagram_options options;
    options.secret = secret;
    options.incarnation = 7;
    auto made = make_datagram_transport(io, time, options);
    return made ? std::move(*made) : nullptr;
}

} // namespace

// Guards against datagrams that are lost, changed, forged, replayed or meant for another node being
// delivered.
TEST_CASE("datagrams reach their receiver once")
{
    asio::io_context io;
    const auto a = open(io);
    const auto b = open(io);
    const auto stranger = open(io, "another secret of the same length..");
    std::vector<std::string> received;
    b->set_handler([&](const peer_address& from, const std::string& payload) {
        CHECK((from == a->local_address() || from == "127.0.0.9:9"));
        received.push_back(payload);
    });
    const auto key = derive_key(shared_secret, "wagtailhatch peer udp 1");
    asio::ip::udp::socket raw{io, asio::ip::udp::v4()};
    const auto to_b =
        asio::ip::udp::endpoint{asio::ip::make_address("127.0.0.1"),
                                static_cast<std::uint16_t>(std::stoul(b->local_address().substr(10)))};
    const auto inject = [&](const std::string& bytes) { raw.send_to(asio::buffer(bytes), to_b); };

    const auto captured = encode_datagram({3, 1, "127.0.0.9:9", "captured"}, b->local_address(), key);
    auto damaged = encode_datagram({3, 2, "127.0.0.9:9", "damaged"}, b->local_address(), key);
    damaged[damaged.size() / 2] ^= 1;
    inject(captured);
    inject(captured);
    inject(damaged);
    inject("");
    inject(std::string(1500, '\1'));
    inject(encode_datagram({3, 3, "127.0.0.9:9", "for another"}, "127.0.0.1:1", key));
    stranger->send(b->local_address(), "forged");
    a->send("not an address", "lost");
    a->send(b->local_address(), std::string(max_datagram_payload, 'x'));
    a->send(b->local_address(), "last");
    REQUIRE(run_until(io, [&] { return !received.empty() && received.back() == "last"; }));
    CHECK(received == std::vector<std::string>{"captured", std::string(max_datagram_payload, 'x'), "last"});
}

// Guards against a decoder that fails other than by returning nothing, and one that takes changed bytes.
TEST_CASE("datagram decoder takes any bytes")
{
    const auto key = derive_key(shared_secret, "test");
    rc::prop("random bytes",
             [&](const std::string& bytes) { RC_ASSERT_FALSE(decode_datagram(bytes, "127.0.0.1:1", key)); });
    rc::prop("random bytes with a valid proof", [&](const std::string& bytes) {
        const auto proof = make_proof(as_view(key), "127.0.0.1:1", bytes);
        decode_datagram(bytes + std::string{as_view(proof)}, "127.0.0.1:1", key);
    });
}

// Guards against accepting a sequence number twice in any order of arrival.
TEST_CASE("replay window accepts each number once")
{
    rc::prop("any order", [] {
        manual_clock time;
        replay_window window{time, 8};
        std::set<std::uint64_t> accepted;
        const auto numbers =
            *rc::gen::container<std::vector<std::uint64_t>>(rc::gen::inRange<std::uint64_t>(0, 200));
        std::uint64_t highest = 0;
        for (const auto n : numbers) {
            const bool fresh = n > 0 && !accepted.contains(n) && (n > highest || highest - n < 64);
            RC_ASSERT(window.accept("a", 1, n) == fresh);
            if (fresh) {
                accepted.insert(n);
                highest = std::max(highest, n);
            }
        }
    });
}

// Guards against datagrams of an earlier life, a restarted sender that is shut out, and unbounded memory.
TEST_CASE("replay window follows incarnations")
{
    manual_clock time;
    replay_window window{time, 3};
    CHECK(window.accept("a", 5, 1));
    CHECK(window.accept("a", 6, 1));
    CHECK_FALSE(window.accept("a", 5, 2));
    time.advance(std::chrono::seconds{61});
    CHECK(window.accept("a", 5, 2));
    for (const auto* sender : {"b", "c", "d", "e"}) {
        time.advance(std::chrono::seconds{1});
        CHECK(window.accept(sender, 1, 1));
    }
    CHECK(window.senders() == 3);
    CHECK_FALSE(window.accept("e", 1, 1));
}
