#include "src/peer/endpoint.h"
#include "src/peer/frame.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <string>

using namespace wagtailhatch;

// Guards against fields that are lost on the wire.
TEST_CASE("frames round trip")
{
    rc::prop("any frame", [](std::uint8_t code, std::uint64_t id, const std::string& payload) {
        const auto bytes = encode_frame(frame_type::request, code, id, payload);
        RC_ASSERT(frame_length(bytes) == bytes.size() - frame_prefix_size);
        RC_ASSERT(bytes.size() == frame_prefix_size + frame_overhead + payload.size());
        const auto read = decode_frame(std::string_view{bytes}.substr(frame_prefix_size));
        RC_ASSERT(read.has_value());
        RC_ASSERT(read->code == code);
        RC_ASSERT(read->id == id);
        RC_ASSERT(read->payload == payload);
    });
}

// Guards against a decoder that fails other than by returning nothing.
TEST_CASE("frame decoder takes any bytes")
{
    rc::prop("random bytes", [](const std::string& bytes) {
        const auto read = decode_frame(bytes);
        RC_ASSERT(!read || read->payload.size() + frame_overhead == bytes.size());
    });
    CHECK_FALSE(decode_frame(""));
    CHECK_FALSE(decode_frame(std::string(frame_overhead - 1, '\1')));
}

// Guards against addresses that are read as something else than they say.
TEST_CASE("peer addresses")
{
    for (const auto* good : {"127.0.0.1:4000", "[::1]:1", "10.1.2.3:65535"}) {
        const auto parsed = parse_peer_address(good);
        REQUIRE(parsed);
        CHECK(format_peer_address(parsed->first, parsed->second) == good);
    }
    for (const auto* bad : {"", "127.0.0.1", "::1:4000", "[127.0.0.1]:1", "host:1",
                            "127.0.0.1:", "127.0.0.1:65536", "127.0.0.1:-1", "127.0.0.1:1 "}) {
        CHECK_FALSE(parse_peer_address(bad));
    }
    rc::prop("random text", [](const std::string& text) { parse_peer_address(text); });
}
