#include "src/http1/message_format.h"
#include "src/http1/message_parser.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

using namespace wagtailhatch;

namespace {

class recorder final : public message_events {
public:
    void on_head(message_head head) override { heads.push_back(std::move(head)); }
    void on_body(std::string_view bytes) override { body += bytes; }

    std::vector<message_head> heads;
    std::string body;
};

constexpr std::size_t max_head = 1000;

/// What has become of a message.
struct parsed {
    std::string what; ///< The message and the size of its parts, for failed checks.
    parse_status status = parse_status::need_more;
    bool complete_at_end = false; ///< Of the connection.
    std::vector<message_head> heads;
    std::string body;
};

/// Parses a message that arrives in parts of this size in bytes, up to the first result.
parsed parse_in_parts(message_role role, std::string_view text, std::size_t part)
{
    parsed out;
    out.what = std::string{text} + " in parts of " + std::to_string(part) + " bytes";
    recorder seen;
    message_parser parser{role, seen, max_head};
    while (out.status == parse_status::need_more && !text.empty()) {
        out.status = parser.parse(text.substr(0, part)).status;
        text.remove_prefix(std::min(part, text.size()));
    }
    out.complete_at_end = parser.finish();
    out.heads = std::move(seen.heads);
    out.body = std::move(seen.body);
    return out;
}

/// Parses a message that arrives at once, and one that arrives byte by byte.
std::array<parsed, 2> parse_both_ways(message_role role, const std::string& text)
{
    return {parse_in_parts(role, text, text.size()), parse_in_parts(role, text, 1)};
}

/// Checks that a request and a response with these field lines are malformed, however their bytes are split,
/// and that nothing of them is passed on.
void check_malformed(const std::string& lines)
{
    for (const auto& [role, begin] : {std::pair{message_role::response, "HTTP/1.1 200 OK\r\n"},
                                      {message_role::request, "POST / HTTP/1.1\r\n"}}) {
        for (const auto& message : parse_both_ways(role, begin + lines + "\r\n\r\nabc")) {
            INFO(message.what);
            CHECK(message.status == parse_status::malformed);
            CHECK_FALSE(message.complete_at_end);
            CHECK(message.heads.empty());
            CHECK(message.body.empty());
        }
    }
}

} // namespace

// Guards against request smuggling, and against losing bytes of the next message.
TEST_CASE("the parser stops after each complete message")
{
    recorder seen;
    message_parser parser{message_role::request, seen, max_head};
    const std::string first = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc";
    const std::string second = "GET /b HTTP/1.1\r\nHost: h\r\n\r\n";
    const auto one = parser.parse(first + second);
    CHECK(one.status == parse_status::complete);
    CHECK(one.consumed == first.size());
    CHECK(seen.body == "abc");
    parser.reset();
    CHECK(parser.parse(second).status == parse_status::complete);
    REQUIRE(seen.heads.size() == 2);
    CHECK(seen.heads[1].target == "/b");
}

// Guards against messages that another HTTP implementation would frame differently.
TEST_CASE("ambiguous or broken requests are malformed")
{
    for (const std::string text :
         {"GET /a HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
          "POST /a HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n",
          "POST /a HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
          "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "GET  HTTP/1.1\r\n\r\n",
          "\x16\x03\x01\x02", "GET /a HTTP/9.9\r\n\r\n"}) {
        INFO(text);
        recorder seen;
        message_parser parser{message_role::request, seen, max_head};
        CHECK(parser.parse(text).status == parse_status::malformed);
    }
}

// Guards against unbounded memory use by a message head.
TEST_CASE("a head beyond the limit is rejected, also when it arrives byte by byte")
{
    recorder seen;
    message_parser parser{message_role::request, seen, max_head};
    const auto text = "GET /a HTTP/1.1\r\nX: " + std::string(2 * max_head, 'x');
    CHECK(parser.parse(text).status == parse_status::head_too_large);
    message_parser slow{message_role::request, seen, max_head};
    auto status = parse_status::need_more;
    for (std::size_t i = 0; i < text.size() && status == parse_status::need_more; ++i) {
        status = slow.parse({text.data() + i, 1}).status;
    }
    CHECK(status == parse_status::head_too_large);
}

// A faulty target sends tiny fields without end. Guards against a head within the limit that takes many times
// its size in memory, on each connection of a node at once.
TEST_CASE("the memory of a response's head is bounded whatever the size of its fields")
{
    constexpr std::size_t limit = std::size_t{64} << 10;
    for (const std::string field : {"F: v\r\n", "F:\r\n", "Field: a value of usual length\r\n"}) {
        INFO(field);
        recorder seen;
        message_parser parser{message_role::response, seen, limit};
        auto status = parser.parse("HTTP/1.1 200 OK\r\n").status;
        std::size_t fields = 0;
        for (; status == parse_status::need_more; ++fields) {
            status = parser.parse(field).status;
        }
        CHECK(status == parse_status::head_too_large);
        CHECK(fields * (sizeof(http_header) + field.size()) <=
              limit + 2 * sizeof(http_header) + field.size());
    }
}

// Guards against taking an interim response for the final one.
TEST_CASE("interim responses are skipped")
{
    recorder seen;
    message_parser parser{message_role::response, seen, max_head};
    const auto done =
        parser.parse("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    CHECK(done.status == parse_status::complete);
    REQUIRE(seen.heads.size() == 1);
    CHECK(seen.heads[0].status == 200);
    CHECK(seen.body == "ok");
}

// A faulty server puts a body behind an interim response. Guards against passing it on in front of the body
// of the final response.
TEST_CASE("the body of an interim response is never passed on")
{
    const std::string final_response = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nreal";
    for (const std::string interim :
         {"HTTP/1.1 100 Continue\r\nContent-Length: 3\r\n\r\nabc",
          "HTTP/1.1 102 X\r\nContent-Length: 3\r\n\r\nabc",
          "HTTP/1.1 103 X\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"}) {
        INFO(interim);
        recorder seen;
        message_parser parser{message_role::response, seen, max_head};
        CHECK(parser.parse(interim + final_response).status == parse_status::malformed);
        CHECK(seen.heads.empty());
        CHECK(seen.body.empty());
    }
}

// A server in trouble answers with status 000 and the like. Guards against responses that reach a caller
// without a status that HTTP knows, that are dropped while the caller waits, or whose bytes get into another
// response.
TEST_CASE("a response whose status line is not valid HTTP is malformed")
{
    for (const std::string status :
         {"000", "001", "099", "600", "999", "101", "20", "2 00", "0200", "2000", "20x", " 200", "-20"}) {
        INFO(status);
        const auto line = "HTTP/1.1 " + status + " X\r\n";
        for (const std::string rest :
             {"Content-Length: 3\r\n\r\nabcHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nreal",
              "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", "\r\nabc"}) {
            recorder seen;
            message_parser parser{message_role::response, seen, max_head};
            CHECK(parser.parse(line + rest).status == parse_status::malformed);
            CHECK_FALSE(parser.head_complete());
            CHECK_FALSE(parser.finish());
            CHECK(seen.heads.empty());
            CHECK(seen.body.empty());
        }
    }
    for (const std::string line : {"HTTP/1.1 200 OK\r\n", "HTTP/1.0 200 OK\r\n", "HTTP/1.1 200\r\n",
                                   "HTTP/1.1 599 \r\n", "\r\nHTTP/1.1 404 X\r\n"}) {
        INFO(line);
        recorder seen;
        message_parser parser{message_role::response, seen, max_head};
        const auto text = line + "Content-Length: 0\r\n\r\n";
        auto status = parse_status::need_more;
        for (const char byte : text) {
            REQUIRE(status == parse_status::need_more);
            status = parser.parse({&byte, 1}).status;
        }
        CHECK(status == parse_status::complete);
    }
}

// A server in trouble writes a blank or a control byte into the name of a field. Guards against passing such
// a line on, and against framing a body by a line that other implementations ignore (request smuggling).
TEST_CASE("a field name that is not a token makes the message malformed")
{
    for (const std::string field :
         {"X Note: v", "X-Note : v", " X-Note: v", "\tX-Note: v", "X-Note\t: v", "X\tNote: v", "X\x01Note: v",
          "X\x1fNote: v", "X\x7fNote: v", "X\x80Note: v", "X(Note): v", ": v", " : v", "X-Note",
          "Content-Length : 3", "Content Length: 3", " Content-Length: 3", "Transfer-Encoding : chunked",
          "Transfer Encoding: chunked"}) {
        check_malformed(field);
        check_malformed("A: b\r\n" + field + "\r\nContent-Length: 3");
    }
}

// Guards against passing on bytes that a reader may take for the end of a line or of the head.
TEST_CASE("a control byte in the value of a field makes the message malformed")
{
    for (const char control : {'\0', '\x01', '\b', '\x1f', '\x7f'}) {
        std::string lines = "X-Note: a?b\r\nContent-Length: 3";
        std::replace(lines.begin(), lines.end(), '?', control);
        check_malformed(lines);
    }
}

// Guards against a field whose value depends on the reader: some join a folded line with a blank, some
// without one, and some take it for a field.
TEST_CASE("a folded field line makes the message malformed")
{
    for (const std::string fold :
         {"\r\n ", "\r\n\t", "\r\n c: d", "\n c: d", "\n\tc: d", "\r\n  Content-Length: 4"}) {
        check_malformed("A: b" + fold + "\r\nContent-Length: 3");
        check_malformed("Content-Length: 3" + fold);
    }
}

// Guards against a response whose body reaches the caller in a coding that its head no longer tells, or that
// ends with the connection although its head announces chunks, and against request smuggling.
TEST_CASE("a transfer coding other than chunked makes the message malformed")
{
    for (const std::string lines :
         {"Transfer-Encoding: gzip, chunked", "Transfer-Encoding: gzip", "Transfer-Encoding: identity",
          "Transfer-Encoding: xchunked", "Transfer-Encoding: chunked, chunked",
          "Transfer-Encoding: chunked\r\ntransfer-encoding: chunked",
          "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip",
          "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked",
          "Transfer-Encoding:", "Transfer-Encoding: chunked, identity", "Transfer-Encoding: chunked;x=1",
          "Transfer-Encoding: \"chunked\"", "Transfer-Encoding: chunked\t",
          "Transfer-Encoding: identity\r\nContent-Length: 3"}) {
        check_malformed(lines);
    }
    for (const std::string value : {"chunked", "Chunked", " \tchunked ", "CHUNKED"}) {
        INFO(value);
        recorder seen;
        message_parser parser{message_role::response, seen, max_head};
        const auto text = "HTTP/1.1 200 OK\r\nTransfer-Encoding:" + value + "\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
        CHECK(parser.parse(text).status == parse_status::complete);
        CHECK(seen.body == "abc");
    }
}

// Guards against a head whose end depends on the reader: the bytes behind it would shift into the body.
TEST_CASE("a carriage return that ends no line makes the message malformed")
{
    for (const std::string lines : {"A: b\rC: d", "A: b\r\r", "A: b\r\n\rXContent-Length: 3",
                                    "Content-Length: 3\r\n\r", "Content-Length: 3\r\n\rX", "A\r: b"}) {
        check_malformed(lines);
    }
    for (const std::string text : {"HTTP/1.1 200 OK\rXContent-Length: 3\r\n\r\nabc",
                                   "HTTP/1.1 200 OK\r\r\nContent-Length: 3\r\n\r\nabc",
                                   "HTTP/1.1 200\rXContent-Length: 3\r\n\r\nabc"}) {
        for (const auto& message : parse_both_ways(message_role::response, text)) {
            INFO(message.what);
            CHECK(message.status == parse_status::malformed);
            CHECK(message.heads.empty());
        }
    }
}

// A server in trouble writes more bytes than the size of their chunk tells, or something else between the
// chunks. Guards against a body that lacks those bytes and still counts as complete, and against request
// smuggling.
TEST_CASE("chunks whose lines end otherwise than by a line end are malformed")
{
    for (const std::string body :
         {"3\r\nabcXX0\r\n\r\n", "3\r\nabc\rX0\r\n\r\n", "3\r\nabcX\n0\r\n\r\n", "3\r\nabcd\r\n0\r\n\r\n",
          "3\r\nabc\n0\r\n\r\n", "3\rXabc\r\n0\r\n\r\n", "3\nabc\r\n0\r\n\r\n", "3;a\nb\r\nabc\r\n0\r\n\r\n",
          "3;\n\r\nabc\r\n0\r\n\r\n", "3\r\nabc\r\n0\rX\r\n", "3\r\nabc\r\n0\r\n\rX",
          "3\r\nabc\r\n0\r\nA: b\r\n\rX", "3\r\nabc\r\n0\r\n\n", "\r\n3\r\nabc\r\n0\r\n\r\n",
          "+3\r\nabc\r\n0\r\n\r\n", "0x3\r\nabc\r\n0\r\n\r\n", "10000000000000000003\r\nabc\r\n0\r\n\r\n"}) {
        for (const auto& [role, begin] : {std::pair{message_role::response, "HTTP/1.1 200 OK\r\n"},
                                          {message_role::request, "POST / HTTP/1.1\r\n"}}) {
            const auto text = std::string{begin} + "Transfer-Encoding: chunked\r\n\r\n" + body;
            for (const auto& message : parse_both_ways(role, text)) {
                INFO(message.what);
                CHECK(message.status == parse_status::malformed);
                CHECK_FALSE(message.complete_at_end);
            }
        }
    }
}

// Guards against rejecting sound chunks, and against trailers that change the message: they are dropped.
TEST_CASE("chunks with extensions and trailers are read")
{
    for (const std::string body :
         {"3\r\nabc\r\n3\r\n\r\n\n\r\n0\r\n\r\n", "003;a=b;c=\"d\"\r\nabc\r\n3 \r\n\r\n\n\r\n000;e\r\n\r\n",
          "3\r\nabc\r\n3\r\n\r\n\n\r\n0\r\nX: y\r\nContent-Length: 9\r\nTransfer-Encoding: "
          "gzip\r\nConnection: close\r\n\r\n"}) {
        const auto version = GENERATE(0, 1);
        const auto text =
            "HTTP/1." + std::to_string(version) + " 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body;
        for (const auto& message : parse_both_ways(message_role::response, text)) {
            INFO(message.what);
            CHECK(message.status == parse_status::complete);
            CHECK(message.body == "abc\r\n\n");
            REQUIRE(message.heads.size() == 1);
            CHECK(message.heads[0].headers.size() == 1);
            CHECK(message.heads[0].keep_alive == (version == 1));
        }
    }
}

// Guards against a body whose end depends on the reader.
TEST_CASE("a length that is broken or not the only one makes the message malformed")
{
    for (const std::string lines :
         {"Content-Length:", "Content-Length: +3", "Content-Length: -3", "Content-Length: 0x3",
          "Content-Length: 3 3", "Content-Length: 3, 3", "Content-Length: 3;", "Content-Length: 3.0",
          "Content-Length: 99999999999999999999", "Content-Length: 3\r\nContent-Length: 3",
          "Content-Length: 3\r\ncontent-length: 4", "Content-Length: 3\r\nTransfer-Encoding: chunked",
          "Transfer-Encoding: chunked\r\nContent-Length: 3"}) {
        check_malformed(lines);
    }
}

// Guards against rejecting what only looks like a broken head: blanks around values, any sign that a token
// may have, and a body whose lines begin with a blank.
TEST_CASE("sound field lines are passed on")
{
    const std::string lines = "!#$%&'*+-.^_`|~aZ09: a \"b\"\tc\r\nEmpty:\r\nColon: a: b\nTight:v\r\n";
    const std::string body = "\r\n x: y\n z\r\n\r\n X Y: v";
    const auto rest = lines + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    for (const auto& [role, begin] :
         {std::pair{message_role::response, "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n"},
          {message_role::request, "\r\n\r\nPOST / HTTP/1.1\r\n"}}) {
        for (const auto& message : parse_both_ways(role, begin + rest)) {
            INFO(message.what);
            CHECK(message.status == parse_status::complete);
            CHECK(message.body == body);
            REQUIRE(message.heads.size() == 1);
            const auto& headers = message.heads[0].headers;
            REQUIRE(headers.size() == 5);
            CHECK(headers[0].name == "!#$%&'*+-.^_`|~aZ09");
            CHECK(headers[0].value == "a \"b\"\tc");
            CHECK(headers[1].value.empty());
            CHECK(headers[2].value == "a: b");
            CHECK(headers[3].value == "v");
        }
    }
}

// Guards against taking a truncated response for a complete one.
TEST_CASE("only a response without a length ends with its connection")
{
    struct row {
        std::string text;
        bool is_complete;
    };
    for (const auto& [text, is_complete] :
         std::vector<row>{{"HTTP/1.1 200 OK\r\n\r\nabc", true},
                          {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc", false},
                          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", false},
                          {"HTTP/1.1 200 OK\r\nX: y", false},
                          {"", false}}) {
        INFO(text);
        recorder seen;
        message_parser parser{message_role::response, seen, max_head};
        CHECK(parser.parse(text).status == parse_status::need_more);
        CHECK(parser.finish() == is_complete);
    }
}

// Guards against heads and bodies that depend on how the network splits the bytes.
TEST_CASE("any split of the bytes gives the same message")
{
    rc::prop("cuts", [](const std::string& raw_body) {
        const auto chunked = *rc::gen::arbitrary<bool>();
        std::string text = "POST /x?y HTTP/1.1\r\nHost: h\r\nA: b\r\n";
        if (chunked) {
            text += "Transfer-Encoding: chunked\r\n\r\n";
            text += raw_body.empty() ? std::string{} : format_chunk(raw_body);
            text += last_chunk;
        }
        else {
            text += "Content-Length: " + std::to_string(raw_body.size()) + "\r\n\r\n" + raw_body;
        }
        recorder seen;
        message_parser parser{message_role::request, seen, max_head};
        std::string_view rest = text;
        auto status = parse_status::need_more;
        while (!rest.empty()) {
            const auto size = *rc::gen::inRange<std::size_t>(1, rest.size() + 1);
            status = parser.parse(rest.substr(0, size)).status;
            rest.remove_prefix(size);
        }
        RC_ASSERT(status == parse_status::complete);
        RC_ASSERT(seen.body == raw_body);
        RC_ASSERT(seen.heads.at(0).headers.at(1).value == "b");
    });
}

// Guards against forwarding hop-by-hop headers to the next connection.
TEST_CASE("hop-by-hop headers are removed, including those named in Connection")
{
    http_headers headers{{"Connection", "keep-alive, X-Private"},
                         {"x-private", "1"},
                         {"Keep-Alive", "1"},
                         {"Transfer-Encoding", "chunked"},
                         {"TE", "trailers"},
                         {"Expect", "100-continue"},
                         {"Accept", "*/*"}};
    remove_hop_by_hop_headers(headers);
    REQUIRE(headers.size() == 1);
    CHECK(headers[0].name == "Accept");
}
