#include "tests/call/dispatcher_fixture.h"

#include <catch2/catch.hpp>

#include <malloc.h>

using namespace wagtailhatch;
using namespace wagtailhatch::test;
using namespace std::chrono_literals;

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

/// Checks that a request answered like this has failed, with an unknown outcome, and that nothing of the
/// answer is passed on.
void check_unknown_outcome(const raw_server::action& response)
{
    INFO(response.answer);
    fixture f{[&](std::size_t) { return response; }};
    const auto sink = f.start("a", false);
    REQUIRE(f.wait([&] { return sink->over(); }));
    CHECK_FALSE(sink->reply);
    CHECK_FALSE(sink->head);
    CHECK(sink->data.empty());
    CHECK((sink->failure && sink->failure->may_have_run && sink->failure->reached_target));
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

// A target in trouble writes a blank or a control byte into the name of a field. Guards against passing the
// line on, or a body that is framed by it: whether the request has run is unknown.
TEST_CASE("a response with a broken field name is a failure of unknown outcome")
{
    for (const std::string field :
         {"X Note: v", "X-Note : v", "X\x01Note: v", "Content-Length : 3", "A: b\r\n c"}) {
        check_unknown_outcome({answer("a", "Mark: 1\r\n" + field + "\r\n", "real")});
    }
}

// Guards against a body in a coding that its head doesn't tell, since Transfer-Encoding isn't passed on.
TEST_CASE("a response in a transfer coding other than chunked is a failure of unknown outcome")
{
    const std::string head = "HTTP/1.1 200 OK\r\nId: a\r\nMark: 1\r\nTransfer-Encoding: ";
    check_unknown_outcome({head + "gzip, chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"});
    check_unknown_outcome({head + "gzip\r\n\r\nabc", true});
    check_unknown_outcome({head + "xchunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", true});
}

// A target's response has more bytes in a chunk than its size tells, or bytes in front of the body. Guards
// against a body without those bytes, or shifted by them, that counts as complete (MIXED).
TEST_CASE("a response that is not framed as its lines tell is a failure of unknown outcome")
{
    const std::string head = "HTTP/1.1 200 OK\r\nId: a\r\nMark: 1\r\n";
    check_unknown_outcome({head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabcXX0\r\n\r\n"});
    check_unknown_outcome({head + "Transfer-Encoding: chunked\r\n\r\n3\rXabc\r\n0\r\n\r\n"});
    check_unknown_outcome({head + "Content-Length: 3\r\n\rXabc"});
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
