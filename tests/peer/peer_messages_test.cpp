#include "include/peer/peer_messages.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <limits>

using namespace wagtailhatch;
using namespace std::chrono_literals;

namespace {

const steady_time now{1h};

service_call sample_call(const std::string& body)
{
    service_call c;
    c.id = "r.1";
    c.service = "front";
    c.route = "lookup";
    c.workspace = "cafe";
    c.origin = "shop";
    c.level = importance::high;
    c.idempotent = false;
    c.depth = 2;
    c.repeated = true;
    c.deadline = now + 700ms;
    c.soft_deadline = now + 100ms;
    c.fingerprint = 42;
    c.target_rate_limit = 20.2;
    c.request = {"POST", "/a?b", {{"H", "v"}, {"H", "w"}}, body};
    return c;
}

} // namespace

// Guards against fields that are lost or swapped by encoding and decoding.
TEST_CASE("calls, answers and statuses round-trip through encoding and decoding")
{
    rc::prop("any body", [](const std::string& body) {
        const auto sent = sample_call(body);
        const auto got = decode_call(encode(sent, now), now + 50ms);
        RC_ASSERT(got.has_value());
        RC_ASSERT(got->request.body == body);
        RC_ASSERT(got->deadline == sent.deadline + 50ms);
        RC_ASSERT(got->route == "lookup");
        RC_ASSERT(got->level == importance::high);
        RC_ASSERT(!got->idempotent);
        RC_ASSERT(got->repeated);
        RC_ASSERT(got->depth == 2U);
        RC_ASSERT(got->target_rate_limit == 20.2);
        RC_ASSERT(got->request.headers.at(1).value == "w");
        const auto reply = decode_reply(encode({201, {{"A", "b"}}, body}, std::nullopt, {}));
        RC_ASSERT(reply.has_value());
        RC_ASSERT(reply->response.status == 201);
        RC_ASSERT(reply->response.body == body);
        RC_ASSERT(!reply->length);
    });
    node_status s;
    s.self = {"10.0.0.1:1", "i-1", "front", "north", 7, member_state::leaving};
    s.allocates_rates = true;
    s.misses_receiver = true;
    s.load.downstream_failing = true;
    s.load.rate_limit = 12.5;
    const auto status = decode_status(encode(s));
    REQUIRE(status);
    CHECK(status->self == s.self);
    CHECK(status->allocates_rates);
    CHECK(status->misses_receiver);
    CHECK(status->load.downstream_failing);
    CHECK(status->load.rate_limit == 12.5);
    const auto failure = decode_failure(encode({refusal_reason::overload, false, true, 30ms, "i-1"}, {}));
    REQUIRE(failure);
    CHECK(failure->failure.reached_target);
    CHECK_FALSE(failure->failure.may_have_run);
    CHECK(failure->failure.retry_after == 30ms);
}

// Guards against tokens that are granted for another workspace or request, and against a delay from the wire
// that would stop a node's requests for long.
TEST_CASE("requests for tokens and their grants round-trip, and implausible delays are bounded")
{
    const rate_request request{"cafe", 3, 17};
    CHECK(decode_rate_request(encode(request)) == request);
    rate_grant grant{"cafe", 2, 17, 120ms};
    CHECK(decode_rate_grant(encode(grant)) == grant);
    grant.retry_after = 1h;
    CHECK(decode_rate_grant(encode(grant))->retry_after <= 10s);
    grant.retry_after = -1h;
    CHECK(decode_rate_grant(encode(grant))->retry_after == duration{});
    CHECK_FALSE(decode_rate_grant(encode(request)));
}

// Guards against crashes and huge allocations on malformed input.
TEST_CASE("arbitrary bytes are decoded or rejected")
{
    rc::prop("random and truncated bytes", [](const std::string& noise) {
        auto bytes = *rc::gen::arbitrary<bool>() ? noise : encode(sample_call(noise), now);
        bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
        static_cast<void>(decode_call(bytes, now));
        static_cast<void>(decode_reply(bytes));
        static_cast<void>(decode_failure(bytes));
        static_cast<void>(decode_status(bytes));
        static_cast<void>(decode_hello(bytes));
        node_status s;
        s.evacuation = evacuation_set{3, {{noise, 2}}};
        auto with_evacuation = encode(hello_message{s, {noise}});
        with_evacuation.resize(*rc::gen::inRange<std::size_t>(0, with_evacuation.size() + 1));
        static_cast<void>(decode_hello(with_evacuation));
        static_cast<void>(decode_config(bytes));
        static_cast<void>(decode_crash(bytes));
    });
}

// Guards against least shares that are read from a report without them, and against values from the wire that
// would admit more than the target can serve.
TEST_CASE("the least shares of a load report are sent only if there are any")
{
    node_status s;
    s.load.own = admit_level{3.5};
    const auto without = encode(s);
    s.load.own = admit_level{3.5, 0.1};
    s.load.path = admit_level{4.5, 0.2};
    const auto with = encode(s);
    CHECK(with.size() > without.size());
    const auto read = decode_status(with);
    REQUIRE(read);
    CHECK(read->load.own.value() == 3.5);
    CHECK(read->load.own.least_share() == 0.1);
    CHECK(read->load.path.least_share() == 0.2);
    CHECK(decode_status(without)->load.own.least_share() == 0);
    CHECK(admit_level{3.5, 7}.least_share() == 0.25);
    CHECK(admit_level{3.5, -1}.least_share() == 0);
    CHECK(admit_level{3.5, std::numeric_limits<double>::quiet_NaN()}.least_share() == 0);
}

// Guards against a pace that is read from the report of a node that sends none, and against values from the
// wire that cannot be true.
TEST_CASE("pace and service time are sent only together and only if known")
{
    node_status s;
    s.load.service_time = 40ms;
    const auto without_pace = encode(s);
    const auto unknown = decode_status(without_pace);
    REQUIRE(unknown);
    CHECK(unknown->load.pace == 0);
    CHECK(unknown->load.service_time == duration{});
    s.load.pace = 2.5;
    s.load.downstream_failing = true;
    const auto known = decode_status(encode(s));
    REQUIRE(known);
    CHECK(known->load.pace == 2.5);
    CHECK(known->load.service_time == 40ms);
    CHECK(known->load.downstream_failing);
    CHECK(encode(s).size() > without_pace.size());
    s.load.pace = std::numeric_limits<double>::infinity();
    s.load.service_time = -1s;
    const auto invalid = decode_status(encode(s));
    REQUIRE(invalid);
    CHECK(invalid->load.pace == 0);
    CHECK(invalid->load.service_time == duration{});
}

// Guards against a set of evacuated data centres that is lost on its way, and against an unknown set that is
// taken for an empty one, or the reverse: an empty set ends an evacuation.
TEST_CASE("evacuated data centres are sent at the end of status and hello, only if the sender knows of any")
{
    node_status s;
    s.self.address = "10.0.0.1:1";
    const auto plain = encode(s);
    REQUIRE(decode_status(plain));
    CHECK_FALSE(decode_status(plain)->evacuation);
    s.evacuation = evacuation_set{17, {}};
    const auto ended = encode(s);
    CHECK(ended.substr(0, plain.size()) == plain);
    REQUIRE(decode_status(ended));
    CHECK(decode_status(ended)->evacuation == s.evacuation);
    s.evacuation->data_centres = {{"north", 12}, {"south", 17}};
    REQUIRE(decode_status(encode(s)));
    CHECK(decode_status(encode(s))->evacuation == s.evacuation);
    const auto hello = decode_hello(encode(hello_message{s, {"10.0.0.2:1"}}));
    REQUIRE(hello);
    CHECK(hello->status.evacuation == s.evacuation);
    CHECK(hello->known == std::vector<peer_address>{"10.0.0.2:1"});
    // Other bytes at the end, and a list beyond the bound, make the message malformed.
    CHECK_FALSE(decode_status(plain + "x"));
    for (std::size_t i = 0; i <= max_evacuated_data_centres; ++i) {
        s.evacuation->data_centres.emplace("dc" + std::to_string(i), 1);
    }
    CHECK_FALSE(decode_status(encode(s)));
    // The count alone, without the entries.
    const auto bytes = encode(s);
    CHECK_FALSE(decode_status(bytes.substr(0, plain.size() + 1 + 8 + 4)));
}

// Guards against a call that loses its allowed regions on the way to the target's node, and against calls
// without them that are sent differently than before.
TEST_CASE("allowed regions of a call are sent only if there are any")
{
    auto call = sample_call("body");
    const auto plain = encode(call, now);
    call.regions = allowed_regions{{"eu", "us"}};
    const auto restricted = encode(call, now);
    CHECK(restricted.size() == plain.size() + 4 + 3 + 3);
    const auto got = decode_call(restricted, now);
    REQUIRE(got);
    CHECK(got->regions == call.regions);
    CHECK(got->repeated);
    CHECK(got->request.body == "body");
    call.regions = allowed_regions{std::in_place};
    call.repeated = false;
    const auto none = decode_call(encode(call, now), now);
    REQUIRE(none);
    CHECK(none->regions == allowed_regions{std::in_place});
    CHECK_FALSE(none->repeated);
    CHECK_FALSE(decode_call(plain, now)->regions);
}

// A node of an older version passes on what its target sent. Guards against a status that no HTTP response
// has.
TEST_CASE("a reply without the status of a final response is malformed")
{
    for (const int status : {0, 99, 100, 101, 199, 600, 999, -1}) {
        INFO(status);
        CHECK_FALSE(decode_reply(encode(http_response{status, {}, "body"}, 4, {})));
    }
    for (const int status : {200, 304, 404, 599}) {
        CHECK(decode_reply(encode(http_response{status, {}, "body"}, 4, {}))->response.status == status);
    }
}

// A node of an older version passes on what its target or its caller sent. Guards against a line with a blank
// or a control byte in its name that reaches a caller or a target by way of another node.
TEST_CASE("a reply or a call with a field name that is not a token is malformed")
{
    for (const std::string name :
         {"X Note", "X-Note ", " X-Note", "X\x01Note", "X\tNote", "X:", "Content-Length ", ""}) {
        INFO(name);
        CHECK_FALSE(decode_reply(encode(http_response{200, {{"A", "b"}, {name, "v"}}, "body"}, 4, {})));
        auto call = sample_call("body");
        call.request.headers.push_back({name, "v"});
        CHECK_FALSE(decode_call(encode(call, now), now));
    }
    CHECK(decode_reply(encode(http_response{200, {{"!#$%&'*+-.^_`|~a0", "v"}}, "body"}, 4, {})));
}
