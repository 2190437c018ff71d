#include "include/config/config_documents.h"
#include "include/config/route_table.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace wagtailhatch;

namespace {

route_table make_table()
{
    const auto base = parse_base("b", R"(data_centres: {a: }
services: {s: }
workspaces: {}
routes:
  list: {path: /labels, method: GET, service: s}
  any: {path: /labels, service: s}
  print: {path: /labels/print, method: POST, service: s}
  public: {path: /public, service: s, open: true}
)");
    REQUIRE(base);
    return route_table{std::make_shared<const configuration>(merge(*base.value, nullptr, 1))};
}

std::string matched_route(const route_table& table, std::string_view method, std::string_view target)
{
    const auto* route = table.find("labels.example:80", method, target);
    return route == nullptr ? "none" : route->name;
}

} // namespace

// Guards against a request that matches another route than the unencoded form of its path.
TEST_CASE("routes match whole segments by longest prefix")
{
    const auto table = make_table();
    CHECK(matched_route(table, "GET", "/labels") == "list");
    CHECK(matched_route(table, "GET", "/labels/") == "list");
    CHECK(matched_route(table, "GET", "/labels/7?x=/public") == "list");
    CHECK(matched_route(table, "PUT", "/labels/7") == "any");
    CHECK(matched_route(table, "get", "/labels") == "any");
    CHECK(matched_route(table, "POST", "/labels/print/4") == "print");
    CHECK(matched_route(table, "GET", "/labels/print") == "list");
    CHECK(matched_route(table, "GET", "/labelsx") == "none");
    CHECK(matched_route(table, "GET", "/Labels") == "none");
    CHECK(matched_route(table, "GET", "/") == "none");
    CHECK(matched_route(table, "GET", "/la%62els") == "list");
    CHECK(matched_route(table, "GET", "/%70ublic/a%20b") == "public");
}

// Guards against paths that a target would resolve to another path than the one used for routing.
TEST_CASE("ambiguous request targets match no route")
{
    const auto table = make_table();
    for (const std::string target : {"/public/../labels",
                                     "/public/%2e%2e/labels",
                                     "/public/.%2E/labels",
                                     "/public/..;x/labels",
                                     "/public/./x",
                                     "/public//labels",
                                     "//labels",
                                     "/public%2flabels",
                                     "/public%2F..%2Flabels",
                                     "/public/%252e%252e/labels",
                                     "/public\\..\\labels",
                                     "/public/%5c..",
                                     "/public/%00",
                                     "/public/%0a",
                                     "/public/%",
                                     "/public/%2",
                                     "/public/%zz",
                                     "/public#x",
                                     "/public?x#y",
                                     "http://h/public",
                                     "*",
                                     "",
                                     "public",
                                     "/public/a b",
                                     "/public/\x01"}) {
        INFO(target);
        CHECK(matched_route(table, "GET", target) == "none");
    }
}

// Guards against an encoded path that matches an open route although the decoded path is not below it.
TEST_CASE("a request target matches the route of its decoded path or none")
{
    const auto table = make_table();
    rc::prop("percent-encoding changes no route", [&] {
        const auto plain = *rc::gen::container<std::string>(rc::gen::element(
            '/', '.', 'l', 'a', 'b', 'e', 's', 'p', 'u', 'i', 'c', 'r', 'n', 't', ';', '%', '2', 'f'));
        const auto path =
            "/" + *rc::gen::element<std::string>("labels/print", "public", "labels", "") + plain;
        std::string encoded = "/";
        for (std::size_t i = 1; i < path.size(); ++i) {
            const char c = path[i];
            // The digits of a percent escape are not encoded.
            const bool in_escape = path[i - 1] == '%' || (i > 1 && path[i - 2] == '%');
            static constexpr std::string_view digits = "0123456789abcdef";
            if (c != '/' && c != '%' && !in_escape && *rc::gen::arbitrary<bool>()) {
                encoded += '%';
                encoded += digits[static_cast<unsigned char>(c) >> 4];
                encoded += digits[c & 15];
            }
            else {
                encoded += c;
            }
        }
        const auto a = matched_route(table, "GET", path);
        const auto b = matched_route(table, "GET", encoded);
        RC_ASSERT(a == b);
        // Oracle: a route matches only a path that literally lies below its prefix.
        RC_ASSERT(a != "public" || path.rfind("/public", 0) == 0 || path.find('%') != std::string::npos);
        RC_ASSERT(a == "none" || path.find("/../") == std::string::npos);
    });
}

// Guards against a request that matches the route of another host, and against "/a" treated as "/a/".
TEST_CASE("routes match only their host, and a prefix with a trailing slash requires it")
{
    auto config = std::make_shared<configuration>();
    const auto add = [&](const std::string& name, const std::string& host, const std::string& prefix) {
        route_config route;
        route.name = name;
        route.host = host;
        route.path_prefix = prefix;
        route.services = {{"s", 1}};
        config->routes.push_back(route);
    };
    add("a", "one.example", "/x/");
    add("a-deep", "one.example", "/x/y/");
    add("b", "two.example", "/x/");
    add("any", "", "/z/");
    const route_table table{config};
    const auto name = [&](std::string_view host, std::string_view target) {
        const auto* route = table.find(host, "GET", target);
        return route == nullptr ? std::string{"none"} : route->name;
    };
    CHECK(name("one.example", "/x/1") == "a");
    CHECK(name("ONE.example:8080", "/x/1") == "a");
    CHECK(name("one.example", "/x/y/1?q=/z/") == "a-deep");
    CHECK(name("one.example", "/x/y") == "a");
    CHECK(name("one.example", "/x") == "none");
    CHECK(name("one.example", "/xy/1") == "none");
    CHECK(name("two.example", "/x/y/1") == "b");
    CHECK(name("three.example", "/x/1") == "none");
    CHECK(name("two.example", "/z/1") == "any");
    CHECK(name("", "/x/1") == "none");
}
