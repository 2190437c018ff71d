#include "include/core/clock.h"
#include "src/node/call_message.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace wagtailhatch;

namespace {

call_message example_message(const manual_clock& time)
{
    call_message m;
    m.service = "orders";
    m.context.workspace = "cafe-north";
    m.context.level = importance::critical;
    m.context.deadline = time.now() + std::chrono::milliseconds{250};
    m.context.retry_tokens = 1;
    m.context.run_once_key = "order-17";
    m.request = {"POST", "/orders/print?x=1", {{"accept", "text/plain"}}, std::string(300, 'b')};
    return m;
}

} // namespace

// Guards against a field that is lost between nodes.
TEST_CASE("call messages round trip with the remaining time")
{
    manual_clock sender;
    manual_clock receiver;
    receiver.advance(std::chrono::hours{77});
    const auto decoded = decode_call_message(encode(example_message(sender), sender.now()), receiver.now());
    REQUIRE(decoded);
    CHECK(decoded->context.deadline - receiver.now() == std::chrono::milliseconds{250});
    CHECK(decoded->context.workspace == "cafe-north");
    CHECK(decoded->context.run_once_key == "order-17");
    CHECK(decoded->request.headers.size() == 1);
    CHECK(decoded->request.body.size() == 300);
}

// Guards against truncated messages that decode, and lengths that make the decoder allocate.
TEST_CASE("truncated and corrupted call messages are refused")
{
    manual_clock time;
    const auto bytes = encode(example_message(time), time.now());
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        CHECK_FALSE(decode_call_message(bytes.substr(0, n), time.now()).has_value());
    }
    CHECK_FALSE(decode_call_message(bytes + "x", time.now()).has_value());
    CHECK_FALSE(decode_call_message(std::string(9, '\xff'), time.now()).has_value());
}

TEST_CASE("random bytes never crash the call decoders")
{
    rc::prop("decoders return a value or an error", [](const std::string& bytes) {
        manual_clock time;
        (void)decode_call_message(bytes, time.now());
        (void)decode_call_reply(bytes);
    });
}
