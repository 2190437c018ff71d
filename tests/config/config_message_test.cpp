#include "src/config/config_message.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>

using namespace wagtailhatch;
using namespace std::chrono_literals;

namespace {

config_message sample_message()
{
    config_message message;
    message.self = {"labels-1", "north", "127.0.0.1:4000"};
    message.version = 9;
    message.platform_age = 250ms;
    message.readers = {{"labels-2", 10ms, 20ms}, {"labels-3", 0ms, std::nullopt}};
    message.peers = {{"labels-4", "north", "127.0.0.1:4001"}};
    config_delta delta;
    delta.from = 7;
    delta.head = {9, {{"base", {"abc", 9}}}, "def"};
    delta.full = {{"base", "text"}};
    delta.steps = {{8, {{"base", 1, 2, "x"}}}, {9, {}}};
    message.delta = delta;
    return message;
}

} // namespace

// Guards against fields that are lost or swapped on the wire.
TEST_CASE("a comparison message round trips")
{
    const auto bytes = encode(sample_message());
    const auto back = decode_config_message(bytes);
    REQUIRE(back);
    CHECK(back->self == sample_message().self);
    CHECK(back->platform_age == 250ms);
    REQUIRE(back->readers.size() == 2);
    CHECK(back->readers[0].reached == 20ms);
    CHECK_FALSE(back->readers[1].reached);
    REQUIRE(back->delta);
    CHECK(back->delta->head == sample_message().delta->head);
    CHECK(back->delta->steps[0].patches[0].middle == "x");
    CHECK(encode(*back) == bytes);
}

// Guards against lengths from the wire that are believed: a short message must not take gigabytes.
TEST_CASE("lengths are checked against the bytes at hand")
{
    const auto bytes = encode(sample_message());
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        CHECK_FALSE(decode_config_message(std::string_view{bytes}.substr(0, size)));
    }
    CHECK_FALSE(decode_config_message(bytes + "x"));
    rc::prop("changed bytes are decoded or refused", [&] {
        auto changed = bytes;
        const auto at = *rc::gen::inRange<std::size_t>(0, changed.size());
        changed.replace(at, std::min<std::size_t>(4, changed.size() - at),
                        *rc::gen::element<std::string>("\xff\xff\xff\xff", "\xff\xff\xff\x7f", "\0", "\x40"));
        const auto decoded = decode_config_message(changed);
        RC_ASSERT((!decoded || encode(*decoded).size() <= changed.size()));
    });
    rc::prop("random bytes", [](const std::string& random) {
        const auto decoded = decode_config_message(random);
        RC_ASSERT((!decoded || encode(*decoded).size() <= random.size()));
    });
}
