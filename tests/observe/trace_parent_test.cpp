#include "include/core/random_source.h"
#include "include/observe/trace_parent.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace wagtailhatch;

namespace {
const std::string valid = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
}

// Guards against traces that break between two services because a value changes when it is formatted.
TEST_CASE("traceparent round trips")
{
    const auto parsed = parse_traceparent(valid);
    REQUIRE(parsed);
    CHECK(parsed->sampled);
    CHECK(format_traceparent(*parsed) == valid);
    CHECK(trace_id_text(*parsed) == "0af7651916cd43dd8448eb211c80319c");
    random_source random{1};
    const auto child = child_span(*parsed, random);
    CHECK(child.trace_id == parsed->trace_id);
    CHECK(child.span_id != parsed->span_id);
    const auto fresh = new_trace(random, false);
    CHECK(parse_traceparent(format_traceparent(fresh))->trace_id == fresh.trace_id);
    CHECK_FALSE(parse_traceparent(format_traceparent(fresh))->sampled);
}

// Guards against malformed or hostile headers: wrong lengths, characters, versions and ids.
TEST_CASE("malformed traceparents are rejected")
{
    const auto bad =
        GENERATE_COPY(as<std::string>{}, "", "00", "-", valid.substr(0, 54), valid + "-", valid + "0",
                      valid + "-00", "ff" + valid.substr(2), "0G" + valid.substr(2), "00_" + valid.substr(3),
                      "00-0AF7651916CD43DD8448EB211C80319C-b7ad6b7169203331-01",
                      "00-00000000000000000000000000000000-b7ad6b7169203331-01",
                      "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01",
                      "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-0x",
                      "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-+1", " " + valid,
                      "cc" + valid.substr(2) + "x", std::string(55, '\0'), std::string(100'000, '-'));
    CHECK_FALSE(parse_traceparent(bad).has_value());
    CHECK(parse_traceparent("cc" + valid.substr(2) + "-more"));
}

// Guards against out-of-bounds reads (detected by AddressSanitizer) on mutations of a valid value.
TEST_CASE("a mutated traceparent is parsed to its own content or rejected")
{
    rc::prop("", [] {
        auto text = valid;
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        text[at] = *rc::gen::arbitrary<char>();
        text.resize(*rc::gen::inRange<std::size_t>(0, 60), '-');
        const auto parsed = parse_traceparent(text);
        if (parsed) {
            RC_ASSERT(format_traceparent(*parsed).substr(3, 49) == text.substr(3, 49));
        }
    });
}
