#include "platform/store_client.h"
#include "src/core/base64.h"
#include "tests/http/raw_peer.h"

#include <catch2/catch.hpp>

using namespace wagtailhatch;
using namespace wagtailhatch::test;
using namespace std::chrono_literals;

namespace {

std::string answer(int status, const std::string& body, const std::string& headers = {})
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n" + headers + "\r\n" + body;
}

/// A server with one fixed reaction to requests, and a store client connected to it.
struct fixture {
    explicit fixture(const raw_server::action& a)
        : server{io, [a](std::size_t) { return a; }}
        , http{std::move(*make_http_client(io, {}))}
        , store{platform::make_store_client(*http, {server.address(), 300ms}, era)}
    {
    }

    result<store_page> read()
    {
        std::optional<result<store_page>> out;
        store->read("t", "k 1", 300ms, [&](result<store_page> r) { out = std::move(r); });
        run_until(io, [&] { return out.has_value(); });
        return *out;
    }
    result<store_position> commit()
    {
        std::optional<result<store_position>> out;
        store->commit({{{"t", "k", 3}}, {{"t", "k", "v", 0, false}}, {}},
                      [&](result<store_position> r) { out = std::move(r); });
        run_until(io, [&] { return out.has_value(); });
        return *out;
    }

    asio::io_context io{1};
    raw_server server;
    store_era era;
    std::unique_ptr<http_client> http;
    std::unique_ptr<row_store> store;
};

} // namespace

// Another writer left odd rows in a table. Guards against a process that ends, or a follower that stops,
// because of one row whose fields have other types or ranges: the other rows must still be read.
TEST_CASE("a row that cannot be read is left out and the others are returned")
{
    const std::string good = R"({"Table":"t","Key":"good","Value":"","Ver":7})";
    const std::string nested = std::string(20'000, '[') + std::string(20'000, ']');
    const std::vector<std::string> odd_rows{R"({"Table":5,"Key":"k","Value":"","Ver":7})",
                                            R"({"Key":"k","Value":{},"Ver":7})",
                                            R"({"Key":"k","Value":"","Ver":-7})",
                                            R"({"Key":"k","Value":"","Ver":1e300})",
                                            R"({"Key":"k","Value":"","Ver":"7"})",
                                            R"({"Key":"k","Value":"","Ver":7,"Tombstone":"no"})",
                                            R"({"Key":"k","Value":"%%%","Ver":7})",
                                            R"({"Key":7,"Value":"","Ver":7})",
                                            R"({"Value":"","Ver":7})",
                                            "7",
                                            nested};
    for (const auto& odd : odd_rows) {
        INFO(odd.substr(0, 60));
        std::string body = R"({"Rows":[)";
        body += odd;
        body += ",";
        body += good;
        body += R"(],"Truncated":false,"Ver":9})";
        fixture f{{answer(200, body)}};
        const auto page = f.read();
        REQUIRE(page);
        REQUIRE(page->rows.size() == 1);
        CHECK(page->rows[0].key == "good");
    }
}

// Guards against a truncated page that is taken as the whole table because of a field of another type.
TEST_CASE("a page with an unreadable truncation mark is rejected")
{
    fixture f{{answer(200, R"({"Rows":[],"Truncated":"yes","Ver":9})")}};
    CHECK(f.read().failure().code == errc::malformed);
}

// Guards against misread row fields: base64 values, versions, tombstones, and the escaped key of the request.
TEST_CASE("store rows, versions and tombstones are read")
{
    fixture f{{answer(
        200,
        R"({"Rows":[{"Table":"t","part":"","Key":"k","Value":")" + encode_base64("v\n1") +
            R"(","Ver":7},{"Table":"t","Key":"gone","Tombstone":true,"Ver":8}],"Truncated":true,"Ver":9,"NowS":1.5})")}};
    const auto page = f.read();
    REQUIRE(page);
    REQUIRE(page->rows.size() == 2);
    CHECK(page->rows[0].value == "v\n1");
    CHECK(page->rows[0].version == 7);
    CHECK(page->rows[1].removed);
    CHECK(page->truncated);
    CHECK(page->version == 9);
    CHECK(f.server.received(0).find("/api/rows-get?Table=t&part=&From=k%201 ") != std::string::npos);
}

// Guards against a write that is reported as applied, or as not applied, although its outcome is unknown:
// each status must map to its own error code.
TEST_CASE("each store status maps to its error code")
{
    struct row {
        int status;
        errc code;
    };
    for (const auto& [status, code] : std::vector<row>{{412, errc::conflict},
                                                       {429, errc::unavailable},
                                                       {503, errc::unavailable},
                                                       {410, errc::lost_history},
                                                       {500, errc::malformed},
                                                       {404, errc::malformed}}) {
        INFO(status);
        fixture f{{answer(status, "{}")}};
        const auto done = f.commit();
        REQUIRE_FALSE(done);
        CHECK(done.failure().code == code);
    }
    fixture good{{answer(200, R"({"Ver":12})")}};
    CHECK(good.commit()->version == 12);
    CHECK(good.server.received(0).find(R"("Precondition":[{"Key":"k","Table":"t","Ver":3,"part":""}])") !=
          std::string::npos);
}

// Guards against lost, truncated and malformed responses that are reported as a definite outcome.
TEST_CASE("a write without a valid response may have taken effect")
{
    fixture silent{{}};
    CHECK(silent.commit().failure().code == errc::timeout);
    fixture cut{{"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{", true}};
    CHECK(cut.commit().failure().code == errc::timeout);
    fixture nonsense{{answer(200, "nonsense")}};
    CHECK(nonsense.commit().failure().code == errc::malformed);
    fixture no_base64{{answer(200, R"({"Rows":[{"Key":"k","Value":"?"}],"Ver":1})")}};
    CHECK(no_base64.read()->rows.empty());
}

// Guards against positions of different eras that look alike because the era of an answer is dropped or
// misread.
TEST_CASE("the era that an answer names is recorded and passed on")
{
    fixture read{{answer(200, R"({"Rows":[],"Ver":9})", "Store-Era: 3\r\n")}};
    CHECK(read.read()->era == 3);
    CHECK(read.era.newest() == 3);
    fixture write{{answer(200, R"({"Ver":12})", "store-era: 4\r\n")}};
    CHECK(*write.commit() == store_position{4, 12});
    fixture failed{{answer(410, "{}", "Store-Era: 5\r\n")}};
    CHECK_FALSE(failed.read());
    CHECK(failed.era.newest() == 5);
    for (const std::string odd : {"", "Store-Era: \r\n", "Store-Era: x\r\n", "Store-Era: -1\r\n",
                                  "Store-Era: 7x\r\n", "Store-Era: 99999999999999999999\r\n"}) {
        INFO(odd);
        fixture f{{answer(200, R"({"Rows":[],"Ver":9})", odd)}};
        CHECK(f.read()->era == 0);
        CHECK(f.era.newest() == 0);
    }
}
