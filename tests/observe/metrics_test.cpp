#include "include/observe/metrics.h"

#include <catch2/catch.hpp>

using namespace wagtailhatch;

// Guards against duplicate series when two modules request the same metric, and against missing labels.
TEST_CASE("metrics are exposed with all their labels")
{
    metrics m{{{"dc", "syd"}}};
    auto first = m.counter("wh_requests_total", "Requests.", {{"outcome", "answered"}});
    first.add();
    m.counter("wh_requests_total", "Requests.", {{"outcome", "answered"}}).add(2);
    m.gauge("wh_in_flight", "Requests in flight.").set(7);
    auto h = m.histogram("wh_latency_seconds", "Latency.", latency_buckets());
    h.observe(0.0005);
    h.observe(20);
    const auto text = m.text();
    INFO(text);
    CHECK(text.find("wh_requests_total{dc=\"syd\",outcome=\"answered\"} 3") != std::string::npos);
    CHECK(text.find("wh_in_flight{dc=\"syd\"} 7") != std::string::npos);
    CHECK(text.find("wh_latency_seconds_bucket{dc=\"syd\",le=\"0.0004\"} 0") != std::string::npos);
    CHECK(text.find("wh_latency_seconds_bucket{dc=\"syd\",le=\"0.001\"} 1") != std::string::npos);
    CHECK(text.find("wh_latency_seconds_count{dc=\"syd\"} 2") != std::string::npos);
    CHECK_THROWS(m.counter("not a name", "x"));
}
