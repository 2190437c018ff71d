#include "include/config/node_settings.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace wagtailhatch;
using namespace std::chrono_literals;

namespace {

const std::string secret(32, 's');
const std::string minimal = "instance: labels-1\ndata_centre: north\nservice: labels\n"
                            "platform: 127.0.0.1:9000\npeer_secret: " +
                            secret + "\n";

bool refused(const std::string& extra, std::size_t line, const std::string& problem)
{
    const auto parsed = parse_node_settings("n.yaml", minimal + extra);
    INFO(to_string(parsed.findings));
    return !parsed && std::any_of(parsed.findings.begin(), parsed.findings.end(), [&](const finding& f) {
        return f.line == line && f.problem.find(problem) != std::string::npos;
    });
}

} // namespace

// Guards against defaults that change unnoticed and against fields that are read into the wrong place.
TEST_CASE("settings are read with their defaults")
{
    const auto plain = parse_node_settings("n.yaml", minimal);
    INFO(to_string(plain.findings));
    REQUIRE(plain);
    CHECK(plain.value->callers.ip == "127.0.0.1");
    CHECK(plain.value->callers.port == 0);
    CHECK(plain.value->advertised == "127.0.0.1:0");
    CHECK(plain.value->drain_timeout == 30s);
    const auto full = parse_node_settings(
        "n.yaml", minimal + "callers: 0.0.0.0:8080\nlocal: 127.0.0.1:8081\npeers: '[::]:4000'\n"
                            "admin: 127.0.0.1:8082\nadvertised: 10.0.0.7:4000\nseeds: [10.0.0.8:4000]\n"
                            "log_level: debug\ntrace_endpoint: 127.0.0.1:4318\ndrain_timeout: 5s\nseed: 7\n");
    INFO(to_string(full.findings));
    REQUIRE(full);
    CHECK(full.value->peers.ip == "::");
    CHECK(full.value->peers.port == 4000);
    CHECK(full.value->seeds == std::vector<peer_address>{"10.0.0.8:4000"});
    CHECK(full.value->level == log_level::debug);
    CHECK(full.value->seed == 7);
}

// Guards against nodes that start with settings they cannot work with.
TEST_CASE("mistakes in settings are reported with their line")
{
    CHECK(refused("local: 10.0.0.1:80\n", 6, "not a loopback address"));
    CHECK(refused("callers: localhost:80\n", 6, "not valid for 'callers'"));
    CHECK(refused("callers: 127.0.0.1:99999\n", 6, "not valid for 'callers'"));
    CHECK(refused("callers: 127.0.0.1:080\n", 6, "not valid for 'callers'"));
    CHECK(refused("peers: 0.0.0.0:4000\n", 6, "unspecified address"));
    CHECK(refused("seeds: [127.0.0.1:0]\n", 6, "not valid for 'seeds'"));
    CHECK(refused("peer_secret_file: x\n", 1, "given twice"));
    CHECK(refused("log_level: loud\n", 6, "not valid for 'log_level'"));
    CHECK(refused("instance: labels-2\n", 6, "repeated"));
    CHECK_FALSE(parse_node_settings("n.yaml", "peer_secret: short\n"));
    CHECK_FALSE(load_node_settings("no such file"));
}
