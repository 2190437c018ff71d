#include "tests/system/deployment.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <fstream>
#include <sstream>
#include <thread>

using namespace wagtailhatch;
using namespace wagtailhatch::testing;

namespace {

http_request get(const std::string& target)
{
    return {"GET", target, {{"Authorization", "Bearer " + deployment::key()}}, {}};
}

http_request order(const std::string& id, const std::string& body = "one tray")
{
    return {
        "POST", "/orders", {{"Authorization", "Bearer " + deployment::key()}, {"Idempotency-Key", id}}, body};
}

void start(deployment& d, const std::vector<std::string>& front_flags = {"--calls=/store"})
{
    d.add("front", "north", "front-1", front_flags);
    d.add("front", "north", "front-2", front_flags);
    d.add("front", "south", "front-3", front_flags);
    d.add("store", "north", "store-1");
    d.add("store", "north", "store-2");
    d.add("store", "south", "store-3");
    REQUIRE(d.serving(d.accept(example_base())));
}

nlohmann::json result_of(child_process& caller, const deployment& d)
{
    REQUIRE(caller.wait_exit(std::chrono::minutes{2}).has_value());
    std::ifstream in{d.folder() + "/caller.out"};
    std::ostringstream text;
    text << in.rdbuf();
    INFO(text.str());
    return nlohmann::json::parse(text.str(), nullptr, false);
}

} // namespace

// Guards against a planned stop that cuts requests in flight.
TEST_CASE("a planned stop under load cuts no request in flight")
{
    deployment d;
    start(d);
    auto caller = d.start_caller({"--nodes=" + d.at("front-1").callers + "," + d.at("front-3").callers,
                                  "--requests=3000", "--rate=500", "--paths=5:GET:/front,1:POST:/orders",
                                  "--run_once_paths=/orders", "--timeout_ms=5000"});
    std::this_thread::sleep_for(std::chrono::seconds{2});
    d.at("front-2").node.signal(SIGTERM);
    d.at("front-2").node.signal(SIGTERM);
    d.at("store-1").node.signal(SIGTERM);
    CHECK(d.at("front-2").node.wait_exit(std::chrono::seconds{40}).value_or(-1) == 0);
    CHECK(d.at("store-1").node.wait_exit(std::chrono::seconds{40}).value_or(-1) == 0);
    const auto result = result_of(caller, d);
    INFO(result.dump());
    CHECK(result.value("requests", 0) == 3000);
    CHECK(result.value("wrong", -1) == 0);
    CHECK(result.value("unknown", -1) == 0);
    CHECK(result.value("failed", -1) == 0);
}

// Guards against an order that runs again at another node, another data centre or after its home died.
TEST_CASE("an order runs once whichever node gets it and whichever dies")
{
    deployment d;
    start(d);
    for (int i = 0; i < 12; ++i) {
        const auto id = "tray-" + std::to_string(i);
        const auto first = send(d.at("front-1").callers, order(id));
        REQUIRE(first.ok);
        CHECK(first.response.status == 200);
        const auto again = send(d.at("front-3").callers, order(id));
        REQUIRE(again.ok);
        CHECK(again.response.status == 200);
        CHECK(header(again, "wh-reason") == "replayed");
        CHECK(again.response.body == first.response.body);
    }
    d.at("front-2").node.signal(SIGKILL);
    d.at("front-2").node.wait_exit(std::chrono::seconds{10});
    for (int i = 0; i < 12; ++i) {
        const auto id = "tray-" + std::to_string(i);
        http_result r;
        CHECK(eventually([&] {
            r = send(d.at("front-3").callers, order(id));
            return r.ok && header(r, "wh-outcome") != "not-run";
        }));
        INFO(id << " " << r.response.status << " " << header(r, "wh-reason"));
        CHECK(d.runs("front", id) == 1);
    }
}

// Guards against a new run of an order whose target died while it ran it.
TEST_CASE("an order whose target dies is unknown and never runs again")
{
    deployment d;
    start(d, {"--crash_marker=POISON"});
    auto r = send(d.at("front-1").callers, order("bad-1", "POISON"), std::chrono::seconds{10});
    INFO(r.response.status << " " << header(r, "wh-reason"));
    CHECK(header(r, "wh-outcome") == "unknown");
    for (int i = 0; i < 3; ++i) {
        r = send(d.at("front-3").callers, order("bad-1", "POISON"), std::chrono::seconds{10});
        CHECK(header(r, "wh-outcome") == "unknown");
    }
    int dead = 0;
    for (const auto* id : {"front-1", "front-2", "front-3"}) {
        dead += d.at(id).targets.front().running() ? 0 : 1;
    }
    CHECK(dead == 1);
}

// Guards against one request that takes down every target of a service.
TEST_CASE("a request that crashes its target takes down at most two targets")
{
    deployment d;
    start(d, {"--crash_marker=POISON"});
    http_request poison = get("/front?q=POISON");
    for (int i = 0; i < 6; ++i) {
        send(d.at("front-3").callers, poison, std::chrono::seconds{10});
        std::this_thread::sleep_for(std::chrono::milliseconds{300});
    }
    int dead = 0;
    for (const auto* id : {"front-1", "front-2", "front-3"}) {
        dead += d.at(id).targets.front().running() ? 0 : 1;
    }
    CHECK(dead <= 2);
    const auto r = send(d.at("front-3").callers, poison);
    CHECK(header(r, "wh-outcome") == "not-run");
    CHECK(send(d.at("front-3").callers, get("/front")).response.status == 200);
}

// Guards against a system that stops with the platform, and instances that cannot be replaced meanwhile.
TEST_CASE("the system serves on while the platform is away and a node is replaced")
{
    deployment d;
    start(d);
    d.control_platform({{"outage", true}});
    CHECK(send(d.at("front-1").callers, get("/front")).response.status == 200);
    CHECK(send(d.at("front-1").callers, order("away-1")).response.status == 200);
    d.restart_node("store-2");
    d.start_target(d.at("store-2"), {});
    CHECK(eventually([&] {
        const auto s = d.status(d.at("store-2"));
        return s.is_object() && s.value("version", 0U) >= 1 && s.value("state", "") == "ready";
    }));
    CHECK(eventually([&] {
        const auto s = d.status(d.at("front-1"));
        return s["usable"].value("store", 0) == 3;
    }));
    for (int i = 0; i < 20; ++i) {
        CHECK(send(d.at("front-1").callers, get("/front")).response.status == 200);
    }
}

// Guards against callers that wait for a frozen process beyond their deadline.
TEST_CASE("a frozen node costs its callers no more than their deadline")
{
    deployment d;
    start(d);
    d.at("store-1").node.signal(SIGSTOP);
    for (int i = 0; i < 20; ++i) {
        auto request = get("/front");
        request.headers.push_back({"wh-timeout-ms", "1500"});
        const auto r = send(d.at("front-3").callers, request, std::chrono::seconds{10});
        REQUIRE(r.ok);
    }
    CHECK(eventually([&] {
        const auto s = d.status(d.at("front-1"));
        return s["usable"].value("store", 0) == 2;
    }));
    for (int i = 0; i < 20; ++i) {
        CHECK(send(d.at("front-1").callers, get("/front")).response.status == 200);
    }
    d.at("store-1").node.signal(SIGCONT);
    CHECK(eventually([&] {
        const auto s = d.status(d.at("front-1"));
        return s["usable"].value("store", 0) == 3;
    }));
}

// Guards against a configuration that goes back when a node restarts from older peers.
TEST_CASE("a restarted node never serves an older configuration")
{
    deployment d;
    start(d);
    const auto version = d.accept(example_base({}, "4000"));
    REQUIRE(d.serving(version));
    d.control_platform({{"outage", true}});
    d.restart_node("front-2");
    CHECK(eventually([&] { return d.status(d.at("front-2")).value("version", 0U) >= version; }));
    CHECK(d.status(d.at("front-2")).value("version", 0U) == version);
}
