#include "tests/system/deployment.h"

#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include <csignal>
#include <fstream>
#include <thread>

using namespace wagtailhatch;
using namespace wagtailhatch::testing;

namespace {

http_request get(const std::string& target, const std::string& key = deployment::key())
{
    return {"GET", target, {{"Authorization", "Bearer " + key}}, {}};
}

http_request order(const std::string& id, const std::string& body = "one tray")
{
    return {
        "POST", "/orders", {{"Authorization", "Bearer " + deployment::key()}, {"Idempotency-Key", id}}, body};
}

asio::ip::tcp::socket connect(asio::io_context& io, const std::string& address)
{
    const auto colon = address.rfind(':');
    asio::ip::tcp::socket socket{io};
    socket.connect({asio::ip::make_address(address.substr(0, colon)),
                    static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))});
    return socket;
}

std::string read_until_close(asio::ip::tcp::socket& socket)
{
    std::string out;
    std::error_code failure;
    while (!failure) {
        std::array<char, 4096> buffer{};
        const auto n = socket.read_some(asio::buffer(buffer), failure);
        out.append(buffer.data(), n);
    }
    return out;
}

// Reads one response with Content-Length from a connection that stays open.
std::string read_response(asio::ip::tcp::socket& socket)
{
    std::string out;
    std::array<char, 4096> buffer{};
    for (;;) {
        const auto end = out.find("\r\n\r\n");
        if (end != std::string::npos) {
            const auto at = out.find("Content-Length: ");
            const auto length = std::stoul(out.substr(at + 16));
            if (out.size() >= end + 4 + length) {
                return out;
            }
        }
        std::error_code failure;
        const auto n = socket.read_some(asio::buffer(buffer), failure);
        out.append(buffer.data(), n);
        if (failure) {
            return out;
        }
    }
}

void start_small(deployment& d)
{
    d.add("front", "north", "front-1", {"--calls=/store"});
    d.add("front", "south", "front-2", {"--calls=/store"});
    d.add("store", "north", "store-1");
    d.add("store", "south", "store-2");
    REQUIRE(d.serving(d.accept(example_base())));
}

} // namespace

// Guards against statuses and headers that differ from docs/callers.md, and against a key at a target.
TEST_CASE("callers get the documented answers at the real sockets")
{
    deployment d;
    start_small(d);
    const auto entry = d.at("front-1").callers;

    const auto whole = send(entry, get("/front"));
    REQUIRE(whole.ok);
    CHECK(whole.response.status == 200);
    CHECK(header(whole, "wh-outcome") == "answered");

    struct refusal {
        http_request request;
        int status;
        std::string reason;
    };
    http_request other_spelling = get("/front");
    other_spelling.headers.front().name = "X-Authorization";
    http_request query_key{"GET", "/front?key=" + deployment::key(), {}, {}};
    http_request leaking = get("/front?copy=" + deployment::key());
    http_request oversized = order("big", std::string(2 << 20, 'x'));
    const std::vector<refusal> refusals{
        {get("/front", "no-such-key"), 401, "unknown-key"},
        {{"GET", "/front", {}, {}}, 401, "key-required"},
        {other_spelling, 401, "key-required"},
        {query_key, 401, "key-required"},
        {leaking, 400, "malformed"},
        {get("/nowhere"), 404, "unknown-route"},
        {get("/front/../orders"), 400, "malformed"},
        {{"POST", "/orders", {{"Authorization", "Bearer " + deployment::key()}}, {}},
         400,
         "idempotency-key-required"},
        {oversized, 413, "too-large"},
    };
    for (const auto& expected : refusals) {
        const auto r = send(entry, expected.request);
        INFO(expected.request.target << " expected " << expected.reason);
        REQUIRE(r.ok);
        CHECK(r.response.status == expected.status);
        CHECK(header(r, "wh-outcome") == "not-run");
        CHECK(header(r, "wh-reason") == expected.reason);
    }
    CHECK(send(entry, {"GET", "/public", {}, {}}).response.status == 200);
    for (const auto* id : {"front-1", "front-2", "store-1", "store-2"}) {
        const auto seen = d.ledger(d.at(id));
        INFO(seen.dump());
        CHECK_FALSE(seen.value("authorization_seen", true));
        CHECK_FALSE(seen.value("forbidden_seen", true));
        CHECK(d.at(id).node.log().find(deployment::key()) == std::string::npos);
    }
}

// Guards against a target's call that runs without the handle of a live request.
TEST_CASE("calls of a target without a live handle are refused")
{
    deployment d;
    start_small(d);
    auto r = send(d.at("front-1").local, {"GET", "/store", {}, {}});
    CHECK(r.response.status == 403);
    r = send(d.at("front-1").local,
             {"GET", "/store", {{"wh-call-handle", "00000000000000000000000000000000"}}, {}});
    CHECK(r.response.status == 403);
}

// Guards against a withdrawn key that lives on while its connection stays open.
TEST_CASE("a withdrawn key stops on an open connection")
{
    deployment d;
    start_small(d);
    asio::io_context io;
    auto socket = connect(io, d.at("front-2").callers);
    const std::string request =
        "GET /front HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + deployment::key() + "\r\n\r\n";
    asio::write(socket, asio::buffer(request));
    CHECK(read_response(socket).find("HTTP/1.1 200") == 0);

    auto base = example_base();
    const auto hash = base.find("- sha256: ");
    base.insert(base.find('\n', hash) + 1, "        withdrawn: true\n");
    const auto version = d.accept(base);
    CHECK(eventually([&] { return d.status(d.at("front-2")).value("version", 0U) >= version; }));
    asio::write(socket, asio::buffer(request));
    const auto answer = read_response(socket);
    CHECK(answer.find("HTTP/1.1 401") == 0);
    CHECK(answer.find("withdrawn-key") != std::string::npos);
}

// Guards against memory that grows with what a stranger sends, and connections held for ever.
TEST_CASE("a 100 MB header and a half-sent request end without harm")
{
    deployment d;
    start_small(d);
    asio::io_context io;
    auto huge = connect(io, d.at("front-1").callers);
    std::error_code failure;
    asio::write(huge, asio::buffer(std::string{"GET /front HTTP/1.1\r\nX-Fill: "}), failure);
    const std::string block(1 << 20, 'a');
    int written = 0;
    while (!failure && written < 100) {
        asio::write(huge, asio::buffer(block), failure);
        ++written;
    }
    CHECK(written < 100);

    auto half = connect(io, d.at("front-1").callers);
    asio::write(half, asio::buffer(std::string{"POST /orders HTTP/1.1\r\nContent-Length: 100\r\n\r\nabc"}));
    CHECK(read_until_close(half).find("200 OK") == std::string::npos);

    CHECK(send(d.at("front-1").callers, get("/front")).response.status == 200);
}

// Guards against a program that starts with settings it did not understand.
TEST_CASE("a broken settings file ends the node with one message for all mistakes")
{
    deployment d;
    const auto file = d.folder() + "/broken.yaml";
    std::ofstream{file} << "instance: x\ndata_centre: 17:\nservce: front\npeer_secret: short\n";
    child_process node{
        "broken", d.folder(), {std::string{WH_BINARY_DIR} + "/wagtailhatch-node", "--settings", file}};
    CHECK(node.wait_exit(std::chrono::seconds{20}).value_or(0) == 2);
    CHECK(node.log().find("broken.yaml:") != std::string::npos);
}
