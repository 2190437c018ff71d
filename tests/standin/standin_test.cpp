#include "tools/standin_common/answer_body.h"
#include "tools/standin_common/split.h"
#include "tools/standin_target/ledger.h"
#include "tools/standin_target/load_report.h"

#include <catch2/catch.hpp>

using namespace wagtailhatch;
using namespace wagtailhatch::standin;

// Guards against a caller that counts cut, changed or foreign answers as whole.
TEST_CASE("only the whole answer of the own request passes")
{
    const auto body = make_answer_body({"s1-7", "labels", "/deep=200", 50});
    CHECK(is_whole_answer(body, "s1-7"));
    CHECK(is_whole_answer(make_answer_body({"s1-7", "labels", "", 0}), "s1-7"));
    CHECK_FALSE(is_whole_answer(body, "s1-70"));
    CHECK_FALSE(is_whole_answer(body, "s1-"));
    CHECK_FALSE(is_whole_answer(body + "x", "s1-7"));
    for (std::size_t i = 0; i < body.size(); ++i) {
        CHECK_FALSE(is_whole_answer(body.substr(0, i), "s1-7"));
        auto changed = body;
        changed[i] ^= 1;
        CHECK_FALSE(is_whole_answer(changed, "s1-7"));
    }
}

// Guards against runs counted for the wrong order.
TEST_CASE("the order id is the key, else the query's order")
{
    const auto id = [](const std::string& target, http_headers headers = {}) {
        return order_id(http_request{"GET", target, std::move(headers), {}});
    };
    CHECK(id("/x?a=1&order=7&b=2") == "7");
    CHECK(id("/x?order=7") == "7");
    CHECK(id("/x?reorder=7&order=8") == "8");
    CHECK(id("/order=7?x=1").empty());
    CHECK(id("/x?order=7", {{"idempotency-key", "k"}}) == "k");
}

// Guards against a stand-in that reports its true load when it is to lie or lag.
TEST_CASE("the load report lags, freezes or lies as told")
{
    const steady_time t{std::chrono::hours{1}};
    const auto ms = [](int n) { return std::chrono::milliseconds{n}; };
    load_report lagging{load_lie::none, ms(100)};
    lagging.changed(5, t);
    lagging.changed(9, t + ms(50));
    CHECK(lagging.value(t + ms(90)) == 0);
    CHECK(lagging.value(t + ms(120)) == 5);
    CHECK(lagging.value(t + ms(150)) == 9);
    load_report frozen{load_lie::frozen, ms(0)};
    frozen.changed(5, t);
    CHECK(frozen.value(t) == 5);
    frozen.changed(9, t + ms(1));
    CHECK(frozen.value(t + ms(2)) == 5);
    load_report zero{load_lie::zero, ms(0)};
    zero.changed(5, t);
    CHECK(zero.value(t) == 0);
}

// Guards against empty entries in lists given as flags.
TEST_CASE("lists are split without empty parts")
{
    CHECK(split(",a,,b,", ',') == std::vector<std::string>{"a", "b"});
    CHECK(split("", ',').empty());
}
