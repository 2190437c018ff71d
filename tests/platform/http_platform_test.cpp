#include "include/http/http_client.h"
#include "include/http/http_server.h"
#include "include/platform/http_object_store.h"
#include "include/platform/http_table_service.h"
#include "tests/http/loop_driver.h"
#include "tools/standin_platform/platform_store.h"

#include <catch2/catch.hpp>

#include <optional>

using namespace wagtailhatch;
using namespace wagtailhatch::test;

namespace {

/// Clients against the stand-in platform over loopback HTTP.
struct fixture {
    explicit fixture(double writes_per_second = 1000)
        : store{writes_per_second, 1000}
        , server{std::move(
              *make_http_server(io, {}, [this](const std::shared_ptr<http_exchange>& e) { serve(e); }))}
        , client{std::move(*make_http_client(io, {}))}
        , address{"127.0.0.1:" + std::to_string(server->port())}
        , table{make_http_table_service(*client, address, std::chrono::seconds{2})}
        , objects{make_http_object_store(*client, address, std::chrono::seconds{2})}
    {
    }
    void serve(const std::shared_ptr<http_exchange>& e)
    {
        ++requests;
        if (override_status != 0) {
            e->respond(http_response{override_status, {}, {}});
        }
        else if (auto answer = store.handle(e->request(), time.now())) {
            e->respond(std::move(*answer));
        }
        else {
            lost.push_back(e);
        }
    }
    void control(const std::string& json)
    {
        store.handle(http_request{"POST", "/control", {}, json}, time.now());
    }
    template <typename T, typename Start>
    result<T> wait(Start start)
    {
        std::optional<result<T>> out;
        start([&out](result<T> r) { out = std::move(r); });
        run_until(io, [&out] { return out.has_value(); });
        return out.value_or(errc::invalid_argument);
    }
    result<table_row> read(const std::string& key)
    {
        return wait<table_row>([&](auto done) { table->read(key, done); });
    }
    result<std::string> write(const std::string& key, const std::string& value, const std::string& etag = {})
    {
        const write_condition condition{
            etag.empty() ? write_condition::kind::must_not_exist : write_condition::kind::must_match, etag};
        return wait<std::string>([&](auto done) { table->write(key, value, condition, done); });
    }

    asio::io_context io;
    manual_clock time;
    standin::platform_store store;
    std::unique_ptr<http_server> server;
    std::unique_ptr<http_client> client;
    std::string address;
    std::unique_ptr<table_service> table;
    std::unique_ptr<object_store> objects;
    std::vector<std::shared_ptr<http_exchange>> lost;
    int override_status = 0;
    int requests = 0;
};

template <typename T>
std::error_code code(const result<T>& r)
{
    return r ? std::error_code{} : r.failure().code;
}

} // namespace

// Guards against keys that end up as several path segments or as part of the query.
TEST_CASE("rows with any key round trip with their version")
{
    fixture f;
    const auto key = GENERATE(as<std::string>{}, "instance/print/a b", "a%2Fb?c=d&e#f", "..", "\xc3\xa4+");
    const auto first = f.write(key, "one");
    REQUIRE(first);
    const auto row = f.read(key);
    REQUIRE(row);
    CHECK(row->value == "one");
    CHECK(row->etag == *first);
    const auto second = f.write(key, "two", *first);
    REQUIRE(second);
    CHECK(*second != *first);
    CHECK(f.read(key)->value == "two");
}

// Guards against two owners that both believe they won a conditional write.
TEST_CASE("conditional writes let one writer win")
{
    fixture f;
    CHECK(code(f.read("k")) == errc::not_found);
    CHECK(code(f.write("k", "x", "\"1\"")) == errc::conflict);
    const auto first = f.write("k", "one");
    REQUIRE(first);
    CHECK(code(f.write("k", "again")) == errc::conflict);
    REQUIRE(f.write("k", "two", *first));
    CHECK(code(f.write("k", "late", *first)) == errc::conflict);
    CHECK(f.read("k")->value == "two");
}

// Guards against lists that miss rows or show those of other prefixes.
TEST_CASE("a list holds the rows of its prefix in order")
{
    fixture f;
    for (const auto* key : {"s/b", "s/a", "t/a", "s", "s/ä"}) {
        REQUIRE(f.write(key, key));
    }
    const auto rows = f.wait<std::vector<table_row>>([&](auto done) { f.table->list("s/", done); });
    REQUIRE(rows);
    REQUIRE(rows->size() == 3);
    CHECK((*rows)[0].key == "s/a");
    CHECK((*rows)[2].value == "s/ä");
    CHECK((*rows)[1].etag == f.read("s/b")->etag);
}

// Guards against a write without effect reported as maybe done, and the reverse.
TEST_CASE("failed calls tell whether a write may have taken effect")
{
    fixture f;
    SECTION("answer lost after the effect")
    {
        f.control(R"({"lose_write_answers":1})");
        CHECK(code(f.write("k", "v")) == errc::timeout);
        CHECK(f.read("k")->value == "v");
        CHECK(f.requests == 2);
    }
    SECTION("outage")
    {
        f.control(R"({"outage":true})");
        CHECK(code(f.write("k", "v")) == errc::unavailable);
        CHECK(code(f.read("k")) == errc::unavailable);
        f.control(R"({"outage":false})");
        CHECK(code(f.read("k")) == errc::not_found);
    }
    SECTION("server error")
    {
        f.override_status = 500;
        CHECK(code(f.write("k", "v")) == errc::timeout);
        CHECK(code(f.read("k")) == errc::unavailable);
    }
    SECTION("success without a version")
    {
        f.override_status = 200;
        CHECK(code(f.write("k", "v")) == errc::timeout);
        CHECK(code(f.read("k")) == errc::malformed);
        const auto rows = f.wait<std::vector<table_row>>([&](auto done) { f.table->list("", done); });
        CHECK(code(rows) == errc::malformed);
    }
    SECTION("refused connection")
    {
        f.server.reset();
        settle(f.io);
        CHECK(code(f.write("k", "v")) == errc::unavailable);
    }
}

// Guards against a stand-in kinder than the platform: more writes than it sustains, reads always fresh.
TEST_CASE("the stand-in limits its rate and can answer stale reads")
{
    fixture f{2};
    const auto first = f.write("k", "one");
    REQUIRE(first);
    f.time.advance(std::chrono::milliseconds{100});
    REQUIRE(f.write("k", "two", *first));
    CHECK(code(f.write("other", "x")) == errc::unavailable);
    f.control(R"({"stale_reads_ms":50})");
    CHECK(f.read("k")->value == "one");
    f.time.advance(std::chrono::seconds{1});
    CHECK(f.read("k")->value == "two");
    CHECK(f.write("other", "x"));
}

// Guards against objects that change under a name.
TEST_CASE("objects round trip and never change")
{
    fixture f;
    const std::string content{"\0binary\xff", 8};
    const auto put = [&](const std::string& bytes) {
        return f.wait<bool>([&](auto done) { f.objects->put("sha256/ab", bytes, done); });
    };
    const auto get = [&](const std::string& name) {
        return f.wait<std::string>([&](auto done) { f.objects->get(name, done); });
    };
    CHECK(code(get("sha256/ab")) == errc::not_found);
    REQUIRE(put(content));
    REQUIRE(put(content));
    CHECK(code(put("other")) == errc::conflict);
    CHECK(*get("sha256/ab") == content);
}

// Guards against escapes read past the end of the text or taken as other characters.
TEST_CASE("percent encoding round trips and refuses broken escapes")
{
    std::string all;
    for (int c = 0; c < 256; ++c) {
        all.push_back(static_cast<char>(c));
    }
    CHECK(percent_decode(percent_encode(all)) == all);
    for (const auto* broken : {"%", "%4", "a%", "%G0", "%-1", "%0x"}) {
        CHECK_FALSE(percent_decode(broken).has_value());
    }
}
