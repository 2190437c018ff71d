#include "src/node/header_filter.h"

#include <catch2/catch.hpp>

using namespace wagtailhatch;

// Guards against a key or a forged internal header that reaches a target under another spelling.
TEST_CASE("credentials, reserved and hop-by-hop headers are removed")
{
    http_headers headers{
        {"AUTHORIZATION", "Bearer k"},      {"Wh-Call-Handle", "forged"}, {"wh_call_handle", "forged"},
        {"Connection", "close, X-Private"}, {"x-private", "1"},           {"Accept", "*/*"}};
    filter_request_headers(headers);
    REQUIRE(headers.size() == 1);
    CHECK(headers.front().name == "Accept");
}

TEST_CASE("a key outside the Authorization header is found")
{
    const std::string key = "abcDEF123";
    CHECK(key_leaks({"GET", "/a?key=abcDEF123", {}, ""}, key));
    CHECK(key_leaks({"GET", "/a?key=%61bcDEF123", {}, ""}, key));
    CHECK(key_leaks({"POST", "/a", {}, "x abcDEF123"}, key));
    CHECK(key_leaks({"GET", "/a", {{"Cookie", "k=abcDEF123"}}, ""}, key));
    CHECK_FALSE(key_leaks({"GET", "/a", {{"authorization", "Bearer abcDEF123"}}, ""}, key));
}

TEST_CASE("only one well-formed bearer token counts")
{
    CHECK(bearer_token({{"authorization", "bearer  k1 "}}) == "k1");
    CHECK(bearer_token({{"authorization", "Basic k1"}}).empty());
    CHECK(bearer_token({{"authorization", "Bearer k1"}, {"Authorization", "Bearer k2"}}).empty());
}
