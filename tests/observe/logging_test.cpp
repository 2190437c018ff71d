#include "include/observe/logging.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <sstream>

using namespace wagtailhatch;

// Guards against forged log lines and fields, and records below the level that is set.
TEST_CASE("a record is one line whatever its values hold")
{
    std::ostringstream out;
    setup_logging(log_level::info, out);
    log(log_level::debug, "hidden");
    log(log_level::warning, "peer lost", {{"address", "127.0.0.1:1"}, {"count", 3}, {"up", false}});
    log(log_level::error, "bad", {{"path", "/a b\"\nts=1 level=info"}, {"long", std::string(5000, 'x')}});
    setup_logging(log_level::info);
    const auto text = out.str();
    INFO(text);
    CHECK(text.find("hidden") == std::string::npos);
    CHECK(std::count(text.begin(), text.end(), '\n') == 2);
    CHECK(text.find("Z level=warning event=\"peer lost\" address=127.0.0.1:1 count=3 up=false\n") !=
          std::string::npos);
    CHECK(text.find("path=\"/a b\\\"\\x0ats=1 level=info\"") != std::string::npos);
    CHECK(text.size() < 2000);
    CHECK(text.rfind("ts=20", 0) == 0);
    CHECK(parse_log_level("warning") == log_level::warning);
    CHECK_FALSE(parse_log_level("loud"));
}
