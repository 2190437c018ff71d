#include "src/call/target_dispatcher.h"
#include "src/core/socket_address.h"
#include "tests/http/endless_server.h"
#include "tests/http/raw_peer.h"

#include <catch2/catch.hpp>

#include <malloc.h>

using namespace wagtailhatch;
using namespace wagtailhatch::test;
using namespace std::chrono_literals;

namespace {

/// Platform-independent header names.
class plain_codec final : public header_codec {
public:
    request_metadata read_request(http_headers&) const override { return {}; }
    void write_target_headers(const target_metadata& metadata, http_headers& headers) const override
    {
        headers.push_back({"Expect-Id", metadata.expected_instance});
        headers.push_back({"Left", std::to_string(metadata.time_left.count())});
    }
    response_metadata read_response(const http_response& head) const override
    {
        response_metadata metadata;
        if (const auto* id = find_header(head.headers, "Id")) {
            metadata.id = *id;
        }
        metadata.signed_by_target = find_header(head.headers, "Mark") != nullptr;
        metadata.not_executed = find_header(head.headers, "Not-Run") != nullptr;
        metadata.encoded = find_header(head.headers, "Content-Encoding") != nullptr;
        if (const auto* rate = find_header(head.headers, "Rate")) {
            metadata.rate_limit = std::stod(*rate);
        }
        if (const auto* pace = find_header(head.headers, "Pace")) {
            metadata.pace = std::stod(*pace);
        }
        metadata.leaving = find_header(head.headers, "Leaving") != nullptr;
        return metadata;
    }
    http_headers local_response_headers(const std::string&, duration) const override { return {}; }
};

class sink_recorder final : public reply_sink {
public:
    void on_reply(http_response r, const load_report&) override { reply = std::move(r); }
    void on_reply_head(http_response r, std::optional<std::uint64_t>, const load_report&) override
    {
        head = std::move(r);
    }
    void on_reply_data(std::string bytes) override { data += bytes; }
    void on_reply_end() override { ended = true; }
    void on_failure(const call_failure& f, const load_report&) override { failure = f; }
    bool over() const { return reply || ended || failure; }

    std::optional<http_response> reply;
    std::optional<http_response> head;
    std::string data;
    bool ended = false;
    std::optional<call_failure> failure;
};

/// Fixture with a test server that acts as the target.
template <typename Server>
struct dispatcher_fixture {
    template <typename... Arguments>
    explicit dispatcher_fixture(std::uint32_t slots, Arguments&&... arguments)
        : server{io, std::forward<Arguments>(arguments)...}
        , dispatcher{io, time, codec, {"front", *parse_address(server.address()), {}}}
    {
        dispatcher.set_target({"i-1", target_phase::ready, slots, {}});
    }

    std::shared_ptr<sink_recorder> start(const std::string& id, bool idempotent = true,
                                         importance level = importance::normal, duration time_left = 10s)
    {
        service_call call;
        call.id = id;
        call.service = "front";
        call.idempotent = idempotent;
        call.level = level;
        call.deadline = time.now() + time_left;
        call.soft_deadline = soft_deadline_passed ? time.now() - 1ms : call.deadline;
        call.fingerprint = std::hash<std::string>{}(id);
        call.request = {"GET", "/" + id, {}, {}};
        call.target_rate_limit = rate_hint;
        auto sink = std::make_shared<sink_recorder>();
        handles.push_back(dispatcher.start(std::move(call), sink));
        return sink;
    }
    bool wait(const std::function<bool()>& condition) { return run_until(io, condition); }

    asio::io_context io{1};
    system_clock_source time;
    plain_codec codec;
    Server server;
    target_dispatcher dispatcher;
    std::vector<std::shared_ptr<call_handle>> handles;
    double rate_hint = 0; ///< Rate limit that callers pass on.
    bool soft_deadline_passed = false;
};

struct fixture : dispatcher_fixture<raw_server> {
    explicit fixture(raw_server::script script, std::uint32_t slots = 1)
        : dispatcher_fixture{slots, std::move(script)}
    {
    }
};

struct endless_fixture : dispatcher_fixture<endless_server> {
    endless_fixture(const std::string& begin, const std::string& filler)
        : dispatcher_fixture{1, begin, filler}
    {
    }
};

std::string answer(const std::string& id, const std::string& extra, const std::string& body, int status = 200)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nId: " + id + "\r\n" + extra +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

// Guards against accepting responses that are not the target's, and against reporting wrongly whether a
// request may have run.
TEST_CASE("each response of a target maps to one result")
{
    struct row {
        std::string what;
        std::string bytes;
        bool replied;
        bool may_have_run;
        bool reached;
    };
    for (const auto& r : std::vector<row>{
             {"complete", answer("a", "Mark: 1\r\n", "body"), true, false, false},
             {"error of the target", answer("a", "Mark: 1\r\n", "", 500), true, false, false},
             {"without the target's mark", answer("a", "", "body"), false, true, true},
             {"encoded", answer("a", "Mark: 1\r\nContent-Encoding: gzip\r\n", "body"), false, true, true},
             {"rejected", answer("a", "Not-Run: 1\r\n", "", 503), false, false, true},
             {"misdirected", answer("a", "", "", 421), false, false, true}}) {
        INFO(r.what);
        fixture f{[&](std::size_t) { return raw_server::action{r.bytes}; }};
        const auto sink = f.start("a");
        REQUIRE(f.wait([&] { return sink->over(); }));
        CHECK(sink->reply.has_value() == r.replied);
        if (sink->failure) {
            CHECK(sink->failure->may_have_run == r.may_have_run);
            CHECK(sink->failure->reached_target == r.reached);
        }
        CHECK(f.server.received(0).find("Expect-Id: i-1") != std::string::npos);
    }
}

// More requests than slots. Guards against sending a target more requests than it has slots, and against a
// less important request being sent before a more important one.
TEST_CASE("requests wait for a slot in the order of their importance")
{
    fixture f{[&](std::size_t) { return raw_server::action{}; }};
    std::vector<duration> waits;
    f.dispatcher.on_sent([&](duration waited) { waits.push_back(waited); });
    const auto a = f.start("a");
    const auto b = f.start("b", true, importance::low);
    const auto c = f.start("c", true, importance::critical);
    REQUIRE(f.wait([&] { return f.server.requests() == 1; }));
    settle(f.io);
    CHECK(f.server.requests() == 1);
    f.server.send(0, answer("a", "Mark: 1\r\n", ""));
    REQUIRE(f.wait([&] { return f.server.requests() == 2; }));
    CHECK(f.server.received(0).find("/c ") != std::string::npos);
    f.server.send(0, answer("c", "Mark: 1\r\n", ""));
    REQUIRE(f.wait([&] { return f.server.requests() == 3; }));
    f.server.send(0, answer("b", "Mark: 1\r\n", ""));
    CHECK(f.wait([&] { return a->over() && b->over() && c->over(); }));
    REQUIRE(waits.size() == 3);
    CHECK(waits[0] < waits[1]);
    CHECK(waits[1] < waits[2]);
}

// Guards against sending requests to a target after its drain was acknowledged.
TEST_CASE("new and queued requests for a draining target are rejected as not run")
{
    fixture f{[&](std::size_t) { return raw_server::action{}; }};
    const auto running = f.start("a");
    const auto waiting = f.start("b");
    REQUIRE(f.wait([&] { return f.server.requests() == 1; }));
    f.dispatcher.set_target({"i-1", target_phase::draining, 1, {}});
    const auto late = f.start("c");
    REQUIRE(f.wait([&] { return waiting->over() && late->over(); }));
    CHECK(waiting->failure->reason == refusal_reason::leaving);
    CHECK_FALSE(late->failure->may_have_run);
    f.server.send(0, answer("a", "Mark: 1\r\n", ""));
    CHECK(f.wait([&] { return running->reply.has_value(); }));
}

// Guards against a target that gets more requests than the rate that it named, summed over all nodes (LIMIT).
TEST_CASE("requests above the rate that the target named wait although slots are free")
{
    constexpr std::uint32_t slots = 50;
    fixture f{[&](std::size_t) { return raw_server::action{answer("a", "Mark: 1\r\nRate: 0.5\r\n", "")}; },
              slots};
    const auto first = f.start("a");
    REQUIRE(f.wait([&] { return first->over(); }));
    CHECK(f.dispatcher.load().rate_limit == 0.5);
    for (int i = 0; i < 20; ++i) {
        f.start("a", true, importance::normal, 1min);
    }
    settle(f.io);
    CHECK(f.server.requests() == 1);
}

// Guards against a cold target that gets its usual load: it crashes and comes back cold.
TEST_CASE("a cold target gets requests at its cold rate, the excess is refused and senders are told")
{
    constexpr std::uint32_t slots = 50;
    fixture f{[&](std::size_t) { return raw_server::action{answer("a", "Mark: 1\r\n", "")}; }, slots};
    f.dispatcher.set_cold_start({0.5, 10s, 1.5, 8});
    CHECK(f.dispatcher.cold_start().assumed());
    const auto reported = f.time.now();
    f.dispatcher.set_target({"i-1", target_phase::ready, slots, reported + 1min, reported});
    CHECK(f.dispatcher.cold_start().cold(f.time.now()));
    CHECK_FALSE(f.dispatcher.cold_start().assumed());
    CHECK(f.dispatcher.take_cold_starts() == 1);
    constexpr std::size_t burst = 20;
    std::vector<std::shared_ptr<sink_recorder>> sinks;
    for (std::size_t i = 0; i < burst; ++i) {
        sinks.push_back(f.start("a", true, importance::normal, 1min));
    }
    settle(f.io);
    CHECK(f.server.requests() <= 1);
    std::size_t refused = 0;
    for (const auto& sink : sinks) {
        if (sink->failure) {
            CHECK_FALSE(sink->failure->may_have_run);
            CHECK(sink->failure->retry_after > duration{});
            ++refused;
        }
    }
    CHECK(refused > burst / 2);
    CHECK(refused < burst);
    CHECK(f.dispatcher.load().rate_limit == 0.5);
    CHECK(f.dispatcher.load().limit < slots / 2);
    SECTION("the rate that a response does not name changes nothing")
    {
        const auto sink = f.start("a", true, importance::critical, 1min);
        REQUIRE(f.wait([&] { return sink->over(); }));
        CHECK(f.dispatcher.load().rate_limit == 0.5);
    }
    SECTION("no configured rate, no limit")
    {
        f.dispatcher.set_cold_start({});
        for (std::size_t i = 0; i < burst; ++i) {
            f.start("a", true, importance::normal, 1min);
        }
        // Those that waited and the new ones.
        CHECK(f.wait([&] { return f.server.requests() == 2 * burst - refused; }));
        CHECK(f.dispatcher.load().rate_limit == 0);
    }
}

// The target was out of this node's sight, as during an evacuation. Guards against the usual load to a target
// that has become cold meanwhile, and against a state known from before that ends the limit.
TEST_CASE("a target counts as cold from the call that expects it until a newer message")
{
    fixture f{[&](std::size_t) { return raw_server::action{answer("a", "Mark: 1\r\n", "")}; }, 50};
    f.dispatcher.set_cold_start({20, 10s, 1.5, 8});
    auto reported = f.time.now();
    target_state state{"i-1", target_phase::ready, 50, reported, reported};
    f.dispatcher.set_target(state);
    CHECK_FALSE(f.dispatcher.cold_start().cold(f.time.now()));
    f.dispatcher.expect_cold_start();
    CHECK(f.dispatcher.cold_start().cold(f.time.now()));
    f.dispatcher.set_target(state);
    CHECK(f.dispatcher.cold_start().cold(f.time.now()));
    reported = f.time.now();
    state.cold_until = reported;
    state.cold_reported = reported;
    f.dispatcher.set_target(state);
    CHECK_FALSE(f.dispatcher.cold_start().cold(f.time.now()));
    CHECK(f.dispatcher.load().rate_limit == 0);
}

// The target's process ends and another one takes its address. Guards against the usual load to the new
// process on the word of its predecessor.
TEST_CASE("a target that refused a connection counts as cold until it reports again")
{
    asio::io_context io{1};
    system_clock_source time;
    plain_codec codec;
    asio::ip::tcp::acceptor closed{io, {asio::ip::make_address("127.0.0.1"), 0}};
    const auto address = closed.local_endpoint();
    closed.close();
    target_dispatcher dispatcher{io, time, codec, {"front", address, {}}};
    dispatcher.set_cold_start({20, 10s, 1.5, 8});
    auto reported = time.now();
    target_state state{"i-1", target_phase::ready, 50, reported, reported};
    dispatcher.set_target(state);
    REQUIRE_FALSE(dispatcher.cold_start().cold(time.now()));
    service_call call;
    call.service = "front";
    call.deadline = call.soft_deadline = time.now() + 10s;
    const auto sink = std::make_shared<sink_recorder>();
    const auto handle = dispatcher.start(std::move(call), sink);
    REQUIRE(run_until(io, [&] { return sink->over(); }));
    dispatcher.set_target(state);
    CHECK(dispatcher.cold_start().cold(time.now()));
    CHECK(dispatcher.load().rate_limit == 20);
    reported = time.now();
    state.cold_until = reported;
    state.cold_reported = reported;
    dispatcher.set_target(state);
    CHECK_FALSE(dispatcher.cold_start().cold(time.now()));
}

// Guards against a limit that outlasts the target's need.
TEST_CASE("a response that names no rate lifts the limit")
{
    constexpr std::uint32_t slots = 50;
    std::size_t requests = 0;
    fixture f{[&](std::size_t) {
                  const bool limited = requests++ == 0;
                  return raw_server::action{
                      answer("a", limited ? "Mark: 1\r\nRate: 50\r\n" : "Mark: 1\r\n", "")};
              },
              slots};
    for (int i = 0; i < 2; ++i) {
        const auto sink = f.start("a");
        REQUIRE(f.wait([&] { return sink->over(); }));
    }
    CHECK(f.dispatcher.load().rate_limit == 0);
}

// Guards against a pace in the load report of a target that announces none, which would change how senders
// choose, and against measurements that outlive the target's incarnation.
TEST_CASE("the load report has pace and service time only if the target announces a pace")
{
    std::string pace;
    fixture f{[&](std::size_t) { return raw_server::action{answer("a", "Mark: 1\r\n" + pace, "")}; }};
    const auto run = [&](const std::string& header) {
        pace = header;
        const auto sink = f.start("a");
        REQUIRE(f.wait([&] { return sink->over(); }));
        return f.dispatcher.load();
    };
    CHECK(run("").pace == 0);
    CHECK(run("").service_time == duration{});
    CHECK(run("Pace: 1.5\r\n").pace == 1.5);
    CHECK(f.dispatcher.load().service_time > duration{});
    CHECK(run("Pace: -1\r\n").pace == 1.5);
    CHECK(f.dispatcher.invalid_paces() == 1);
    f.dispatcher.set_target({"i-2", target_phase::ready, 1, {}});
    CHECK(f.dispatcher.load().pace == 0);
    CHECK(f.dispatcher.load().service_time == duration{});
}

// Only some services of a deployment announce a pace. Guards against chains that are balanced and shed by
// other rules at the deepest service than above it.
TEST_CASE("a target that announces no pace counts as usual once other targets announce one")
{
    fixture f{[](std::size_t) { return raw_server::action{answer("a", "Mark: 1\r\n", "")}; }};
    const auto pace_after_response = [&] {
        const auto sink = f.start("a");
        REQUIRE(f.wait([&] { return sink->over(); }));
        return f.dispatcher.load().pace;
    };
    CHECK(pace_after_response() == 0);
    f.dispatcher.assume_usual_pace();
    CHECK(pace_after_response() == 1);
    CHECK(f.dispatcher.load().service_time > duration{});
    CHECK(f.dispatcher.invalid_paces() == 0);
}

// Guards against requests of a target that announces no pace being queued differently than before, and
// against refusing late requests of one that does although a slot becomes free in time.
TEST_CASE("a request that can only be late is refused unless the target announces a pace")
{
    for (const bool announced : {false, true}) {
        INFO(announced);
        std::size_t requests = 0;
        fixture f{[&](std::size_t) {
            const auto head = announced ? "Mark: 1\r\nPace: 1\r\n" : "Mark: 1\r\n";
            return requests++ == 0 ? raw_server::action{answer("a", head, "")} : raw_server::action{};
        }};
        const auto first = f.start("a");
        REQUIRE(f.wait([&] { return first->over(); }));
        f.start("b");
        REQUIRE(f.wait([&] { return f.server.requests() == 2; }));
        f.soft_deadline_passed = true;
        const auto late = f.start("c");
        f.server.send(0, answer("b", "Mark: 1\r\n", ""));
        REQUIRE(f.wait([&] { return late->over() || f.server.requests() == 3; }));
        CHECK(late->failure.has_value() == !announced);
        CHECK(f.server.requests() == (announced ? 3 : 2));
    }
}

// Guards against quick rejections and errors that make an overloaded target look fast, and against responses
// that prove nothing about the target.
TEST_CASE("only responses to executed requests are measured")
{
    for (const auto& r :
         {answer("a", "Mark: 1\r\nPace: 1\r\nNot-Run: 1\r\n", "", 503),
          answer("a", "Mark: 1\r\nPace: 1\r\n", "", 421), answer("a", "Mark: 1\r\nPace: 1\r\n", "", 500),
          answer("a", "Pace: 1\r\n", "", 404)}) {
        INFO(r);
        fixture f{[&](std::size_t) { return raw_server::action{r}; }};
        const auto sink = f.start("a");
        REQUIRE(f.wait([&] { return sink->over(); }));
        CHECK(f.dispatcher.load().pace == 1);
        CHECK(f.dispatcher.load().service_time == duration{});
    }
}

// Guards against a node that restarts beside a limited target and sends it too much until the first response.
TEST_CASE("a node that has heard nothing from its target yet uses the rate known to the callers' nodes")
{
    constexpr std::uint32_t slots = 50;
    fixture f{[&](std::size_t) { return raw_server::action{}; }, slots};
    f.rate_hint = 0.5;
    for (int i = 0; i < 20; ++i) {
        f.start("a", true, importance::normal, 1min);
    }
    settle(f.io);
    CHECK(f.server.requests() == 0);
    CHECK(f.dispatcher.load().rate_limit == 0.5);
}

// Guards against requests to a target that has said in a response that it leaves, while its announcement is
// late (DRAIN).
TEST_CASE("a response that says the target leaves is reported once with its id")
{
    fixture f{[&](std::size_t) { return raw_server::action{answer("a", "Mark: 1\r\nLeaving: 1\r\n", "")}; },
              1};
    std::vector<std::string> leaving;
    f.dispatcher.on_target_leaving([&](const std::string& id) { leaving.push_back(id); });
    for (int i = 0; i < 2; ++i) {
        const auto sink = f.start("a");
        REQUIRE(f.wait([&] { return sink->over(); }));
        f.dispatcher.set_target({"i-1", target_phase::draining, 1, {}});
    }
    CHECK(leaving == std::vector<std::string>{"i-1"});
}

// A faulty target writes an earlier refusal once more on a kept connection. Guards against telling callers
// that a request has not run (REFUSED), or sending it to a second target (TWICE), on the word of a response
// to another request.
TEST_CASE("a repeated refusal of an earlier request does not count for the next one")
{
    const std::string refusal = "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
    const std::string misdirected = "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n";
    for (const auto& repeated : {refusal, misdirected, answer("a", "Not-Run: 1\r\n", "", 503)}) {
        INFO(repeated);
        std::size_t requests = 0;
        fixture f{[&](std::size_t) {
            const bool is_first = requests++ == 0;
            return raw_server::action{is_first ? answer("a", "Not-Run: 1\r\n", "", 503) : repeated,
                                      !is_first};
        }};
        const auto first = f.start("a");
        REQUIRE(f.wait([&] { return first->over(); }));
        CHECK_FALSE(first->failure->may_have_run);
        const auto second = f.start("b", false);
        REQUIRE(f.wait([&] { return second->over(); }));
        CHECK(f.server.connections() == 1);
        REQUIRE(second->failure);
        CHECK(second->failure->may_have_run);
    }
}

// A target rejects a request, gets it once more, and then writes the first refusal a second time. Guards
// against counting the attempt in progress as not run on the word of a copy that bears the same id: an order
// would be sent a third time and run twice (TWICE).
TEST_CASE("a late copy of a refusal does not count for the next attempt of the same request")
{
    const std::vector<std::string> rejections{answer("a", "Not-Run: 1\r\n", "", 503),
                                              answer("a", "", "", 421),
                                              answer("a", "Not-Run: 1\r\n", "", 429)};
    for (const auto& rejection : rejections) {
        INFO(rejection);
        std::size_t requests = 0;
        fixture f{[&](std::size_t) {
            const bool first_connection = f.server.connections() == 1;
            ++requests;
            return raw_server::action{first_connection ? rejection : answer("a", "Mark: 1\r\n", "ran")};
        }};
        const auto first = f.start("a", false);
        REQUIRE(f.wait([&] { return first->over(); }));
        CHECK_FALSE(first->failure->may_have_run);
        const auto second = f.start("a", false);
        REQUIRE(f.wait([&] { return second->over(); }));
        CHECK(requests == 2);
        REQUIRE(second->reply);
        CHECK(second->reply->body == "ran");
    }
}

// Guards against a new connection for each request after a refusal: connections to a target are costly.
TEST_CASE("a connection that carried a refusal still serves other requests")
{
    std::size_t requests = 0;
    fixture f{[&](std::size_t) {
        const auto id = std::to_string(requests++);
        return raw_server::action{answer(id, "Not-Run: 1\r\n", "", 503)};
    }};
    for (int i = 0; i < 3; ++i) {
        const auto sink = f.start(std::to_string(i), false);
        REQUIRE(f.wait([&] { return sink->over(); }));
        CHECK_FALSE(sink->failure->may_have_run);
    }
    CHECK(f.server.connections() == 1);
}

// A target writes a refusal without an id. Guards against not believing it on a connection where it can only
// belong to the one request: its caller would be told that the outcome is unknown.
TEST_CASE("a refusal without an id counts for the first request of a connection")
{
    fixture f{[](std::size_t) {
        return raw_server::action{"HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"};
    }};
    const auto sink = f.start("a", false);
    REQUIRE(f.wait([&] { return sink->over(); }));
    CHECK_FALSE(sink->failure->may_have_run);
}

// Guards against a caller that gets status 000, or waits until its deadline, or gets the bytes of such a
// response in front of those of a sound one: whether the request has run is unknown.
TEST_CASE("a response without a valid status is a failure of unknown outcome")
{
    for (const std::string status : {"000", "100", "101", "999"}) {
        INFO(status);
        const auto head = "HTTP/1.1 " + status + " X\r\nId: a\r\nMark: 1\r\nContent-Length: 3\r\n\r\nabc";
        fixture f{[&](std::size_t) { return raw_server::action{head + answer("a", "Mark: 1\r\n", "real")}; }};
        const auto sink = f.start("a");
        REQUIRE(f.wait([&] { return sink->over(); }));
        CHECK_FALSE(sink->reply);
        REQUIRE(sink->failure);
        CHECK(sink->failure->may_have_run);
        CHECK(sink->failure->reached_target);
    }
}

// A target stops in the middle of its response's head and closes. Guards against a response that is framed as
// complete although it is not (MIXED).
TEST_CASE("a response whose head is cut off is a failure of unknown outcome")
{
    const auto whole = answer("a", "Mark: 1\r\n", "body");
    const auto head_size = whole.size() - 4;
    for (std::size_t size = 0; size < head_size; ++size) {
        INFO(size);
        fixture f{[&](std::size_t) { return raw_server::action{whole.substr(0, size), true}; }};
        const auto sink = f.start("a", false);
        REQUIRE(f.wait([&] { return sink->over(); }));
        CHECK_FALSE(sink->reply.has_value());
        CHECK_FALSE(sink->head.has_value());
        REQUIRE(sink->failure);
        CHECK(sink->failure->may_have_run);
    }
}

// Guards against slots held for disconnected callers, and against aborting non-idempotent requests.
TEST_CASE("cancelling frees the slot of an idempotent request, a non-idempotent one runs to completion")
{
    fixture f{[&](std::size_t) { return raw_server::action{}; }, 2};
    const auto lookup = f.start("a");
    const auto order = f.start("b", false);
    REQUIRE(f.wait([&] { return f.server.requests() == 2; }));
    f.handles[0]->cancel();
    CHECK(f.wait([&] { return f.server.closed() == 1; }));
    f.handles[1]->cancel();
    settle(f.io);
    CHECK(f.server.closed() == 1);
    CHECK(f.dispatcher.in_progress() == 1);
    CHECK_FALSE(lookup->over());
    CHECK_FALSE(order->over());
}

// Guards against buffering a large response completely.
TEST_CASE("a large response is streamed")
{
    const std::string body(300'000, 'x');
    fixture f{[&](std::size_t) { return raw_server::action{answer("a", "Mark: 1\r\n", body)}; }};
    const auto sink = f.start("a");
    REQUIRE(f.wait([&] { return sink->head.has_value() && !sink->data.empty(); }));
    REQUIRE(f.wait([&] {
        f.handles[0]->consumed(sink->data.size());
        return sink->over();
    }));
    CHECK(sink->ended);
    CHECK(sink->data.size() == body.size());
}

// A faulty target sends an endless body that is not a valid response. Guards against buffering it until
// memory is exhausted.
TEST_CASE("an invalid endless response is aborted at the buffer limit")
{
    struct row {
        std::string what;
        std::string head;
        bool may_have_run;
    };
    for (const auto& r : std::vector<row>{
             {"without the target's mark", "HTTP/1.1 200 OK\r\nId: a\r\n\r\n", true},
             {"error without the target's mark", "HTTP/1.1 500 X\r\nId: a\r\n\r\n", true},
             {"encoded", "HTTP/1.1 200 OK\r\nId: a\r\nMark: 1\r\nContent-Encoding: gzip\r\n\r\n", true},
             {"rejected", "HTTP/1.1 503 X\r\nId: a\r\nNot-Run: 1\r\n\r\n", false}}) {
        INFO(r.what);
        endless_fixture f{r.head, "x"};
        const auto sink = f.start("a");
        REQUIRE(f.wait([&] { return sink->over(); }));
        REQUIRE(sink->failure);
        CHECK(sink->failure->may_have_run == r.may_have_run);
        CHECK(f.wait([&] { return f.server.ended() == 1; }));
        CHECK(f.dispatcher.in_progress() == 0);
    }
}

namespace {

/// Bytes allocated by this process.
std::size_t allocated_bytes()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

std::string repeated(const std::string& text, std::size_t size)
{
    std::string out;
    while (out.size() < size) {
        out += text;
    }
    return out;
}

} // namespace

// A faulty target sends as much as one response may take on each of its connections, and then nothing. Guards
// against a node that runs out of memory, with the requests of all its other callers: 133 slots beside 160
// MB.
TEST_CASE("responses that never end stay within the node's memory on all connections together")
{
    constexpr std::size_t slots = 133;
    constexpr std::size_t most_growth = std::size_t{80} << 20; // Half of the memory.
    constexpr std::size_t most_sent = std::size_t{60} << 10;
    const std::string status = "HTTP/1.1 200 OK\r\nId: a\r\n";
    const std::vector<std::string> responses{
        "HTTP/1.1 200 " + repeated("x", most_sent),
        status + "X: " + repeated("x", most_sent),
        status + repeated("F:\r\n", most_sent),
        repeated("HTTP/1.1 100 Continue\r\n\r\n", most_sent),
        repeated(answer("b", "Mark: 1\r\n", "late"), most_sent),
        status + "Transfer-Encoding: chunked\r\n\r\n5;" + repeated("e", most_sent),
        status + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + repeated("T:\r\n", most_sent),
        status + "\r\n" + repeated("x", most_sent),
        status + "Mark: 1\r\n\r\n" + repeated("x", most_sent),
    };
    for (const auto& response : responses) {
        INFO(response.substr(0, 60));
        fixture f{[&](std::size_t) { return raw_server::action{response}; }, slots};
        const auto before = allocated_bytes();
        std::vector<std::shared_ptr<sink_recorder>> sinks;
        for (std::size_t i = 0; i < slots; ++i) {
            sinks.push_back(f.start("a"));
        }
        std::size_t peak = 0;
        CHECK(f.wait([&] {
            peak = std::max(peak, allocated_bytes());
            return f.server.requests() >= slots / 2;
        }));
        settle(f.io);
        peak = std::max(peak, allocated_bytes());
        CHECK(peak - before < most_growth);
        for (const auto& handle : f.handles) {
            handle->cancel();
        }
        settle(f.io);
        CHECK(f.dispatcher.in_progress() == 0);
    }
}

// A target spoils responses of all sizes, below and above what is buffered, and they arrive as a whole.
// Guards against using a connection that was ended by one of its own callbacks: requests on it were never
// answered.
TEST_CASE("a spoilt response ends its connection for good and only that")
{
    const std::vector<std::string> spoilt{"", "Mark: 1\r\nContent-Encoding: gzip\r\n", "Not-Run: 1\r\n"};
    for (const std::size_t size : {0U, 1000U, 65'536U, 65'537U, 70'000U, 200'000U, 600'000U}) {
        for (const auto& headers : spoilt) {
            INFO(size << ' ' << headers);
            std::size_t requests = 0;
            fixture f{[&](std::size_t) {
                          const auto id = std::to_string(requests);
                          const bool is_spoilt = requests++ % 2 == 0;
                          return raw_server::action{is_spoilt ? answer(id, headers, std::string(size, 'x'))
                                                              : answer(id, "Mark: 1\r\n", "whole")};
                      },
                      4};
            for (int i = 0; i < 6; i += 2) {
                const auto bad = f.start(std::to_string(i));
                REQUIRE(f.wait([&] { return bad->over(); }));
                CHECK_FALSE(bad->reply.has_value());
                const auto good = f.start(std::to_string(i + 1));
                REQUIRE(f.wait([&] { return good->over(); }));
                REQUIRE(good->reply);
                CHECK(good->reply->body == "whole");
            }
            CHECK(f.dispatcher.in_progress() == 0);
            f.dispatcher.sweep();
        }
    }
}

// Guards against an endless response exhausting memory while its caller reads slowly or not at all.
TEST_CASE("an endless response is read only as fast as its caller consumes it")
{
    endless_fixture f{"HTTP/1.1 200 OK\r\nId: a\r\nMark: 1\r\n\r\n", "x"};
    const auto sink = f.start("a");
    REQUIRE(f.wait([&] { return sink->data.size() > 100'000; }));
    settle(f.io);
    constexpr std::size_t most_held = std::size_t{1} << 20;
    CHECK(sink->data.size() < most_held);
    f.handles[0]->cancel();
    CHECK(f.wait([&] { return f.server.ended() == 1; }));
}

// Guards against a slot held forever by a non-idempotent request whose caller has disconnected and whose
// target never starts or never completes its response.
TEST_CASE("an abandoned non-idempotent request is aborted after its deadline")
{
    for (const std::string begin : {"", "HTTP/1.1 200 OK\r\nId: a\r\nMark: 1\r\n\r\n"}) {
        INFO(begin);
        endless_fixture f{begin, begin.empty() ? "\r\n" : "x"};
        const auto sink = f.start("a", false, importance::normal, 50ms);
        REQUIRE(f.wait([&] { return f.server.requests() == 1; }));
        f.handles[0]->cancel();
        CHECK(f.dispatcher.in_progress() == 1);
        CHECK(f.wait([&] {
            f.dispatcher.sweep();
            return f.dispatcher.in_progress() == 0;
        }));
        CHECK(f.wait([&] { return f.server.ended() == 1; }));
    }
}

// Guards against one poison request crashing every target that runs it.
TEST_CASE("a request that was in flight at two crashes is quarantined")
{
    fixture f{[&](std::size_t) { return raw_server::action{"", true}; }};
    std::size_t reports = 0;
    f.dispatcher.on_target_crash([&](const crash_report& report) {
        ++reports;
        CHECK(report.fingerprints.size() == 1);
    });
    const auto first = f.start("poison");
    REQUIRE(f.wait([&] { return first->over(); }));
    CHECK(first->failure->may_have_run);
    // The reports of two crashes, which refused connections after a lost one would cause.
    f.dispatcher.quarantine().on_target_crash({1, {std::hash<std::string>{}("poison")}}, f.time.now());
    f.dispatcher.quarantine().on_target_crash({2, {std::hash<std::string>{}("poison")}}, f.time.now());
    const auto again = f.start("poison");
    REQUIRE(f.wait([&] { return again->over(); }));
    CHECK(again->failure->reason == refusal_reason::quarantined);
    CHECK_FALSE(again->failure->may_have_run);
    CHECK(reports == 0);
}

// Guards against requests that reach the target of an evacuated data centre, are said to have run, or are cut
// off; and against a target that stays out of use when the evacuation has ended, or that is put into use
// again by an announcement.
TEST_CASE("the target of an evacuated data centre ends its requests and gets no new ones")
{
    std::size_t runs = 0;
    fixture f{[&](std::size_t) {
        ++runs;
        return raw_server::action{answer("first", "Mark: 1\r\n", "x")};
    }};
    const auto first = f.start("first");
    const auto queued = f.start("queued");
    f.dispatcher.set_evacuated(true);
    const auto late = f.start("late");
    REQUIRE(f.wait([&] { return first->over() && queued->over() && late->over(); }));
    CHECK(first->reply);
    for (const auto& sink : {queued, late}) {
        REQUIRE(sink->failure);
        CHECK(sink->failure->reason == refusal_reason::evacuated);
        CHECK_FALSE(sink->failure->may_have_run);
        CHECK_FALSE(sink->failure->reached_target);
    }
    CHECK(f.dispatcher.accepts_calls());
    f.dispatcher.set_target({"i-2", target_phase::ready, 1, {}});
    const auto after_announcement = f.start("after");
    REQUIRE(f.wait([&] { return after_announcement->over(); }));
    CHECK(after_announcement->failure);
    CHECK(runs == 1);
    f.dispatcher.set_evacuated(false);
    const auto again = f.start("first");
    REQUIRE(f.wait([&] { return again->over(); }));
    CHECK(again->reply);
}
