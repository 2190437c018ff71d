#include "include/observe/logging.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <sstream>

using namespace wagtailhatch;

// Guards against log injection through control characters and quotes in values, and against records below the
// configured level.
TEST_CASE("a log record is one line of JSON for arbitrary values")
{
    std::ostringstream out;
    setup_logging(log_level::info, out);
    log(log_level::debug, "hidden");
    log(log_level::warning, "peer lost",
        {{"address", "127.0.0.1:1"}, {"count", 3}, {"up", false}, {"wait", 0.5}});
    log(log_level::error, "bad", {{"path", "/a b\"\n{\"event\":1}\xff"}, {"long", std::string(5000, 'x')}});
    setup_logging(log_level::info);
    const auto text = out.str();
    INFO(text);
    CHECK(text.find("hidden") == std::string::npos);
    REQUIRE(std::count(text.begin(), text.end(), '\n') == 2);
    const auto end = text.find('\n');
    const auto first = nlohmann::json::parse(text.substr(0, end));
    CHECK(first["event"] == "peer lost");
    CHECK(first["level"] == "warning");
    CHECK(first["address"] == "127.0.0.1:1");
    CHECK(first["count"] == 3);
    CHECK(first["up"] == false);
    CHECK(first["wait"] == 0.5);
    CHECK(first["ts"].get<std::string>().rfind("20", 0) == 0);
    const auto second = nlohmann::json::parse(text.substr(end + 1));
    CHECK(second["path"].get<std::string>().rfind("/a b\"\n{\"event\":1}", 0) == 0);
    CHECK(text.size() < 2000);
    CHECK(parse_log_level("warning") == log_level::warning);
    CHECK_FALSE(parse_log_level("loud"));
}

// Guards against log volume that grows with the load, and against warnings dropped in a flood of info
// records.
TEST_CASE("log lines per second are limited and dropped lines are counted")
{
    std::ostringstream out;
    setup_logging(log_level::info, out);
    const auto before = dropped_log_lines();
    constexpr int sent = 5000;
    for (int i = 0; i < sent; ++i) {
        log(log_level::info, "ordinary");
    }
    log(log_level::warning, "important");
    setup_logging(log_level::info);
    const auto text = out.str();
    const auto lines = static_cast<std::uint64_t>(std::count(text.begin(), text.end(), '\n'));
    // The loop may run across the boundary of two seconds, each with its own limit.
    CHECK(lines <= 2 * max_log_lines_per_second + 1);
    CHECK(dropped_log_lines() - before == sent + 1 - lines);
    CHECK(text.find("important") != std::string::npos);
    CHECK(text.find("lines_left_out") != std::string::npos);
}
