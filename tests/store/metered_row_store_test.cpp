#include "src/store/metered_row_store.h"
#include "tests/store/scripted_store.h"

#include <catch2/catch.hpp>

using namespace wagtailhatch;
using namespace wagtailhatch::test;
using namespace std::chrono_literals;

// Guards against store calls that are not counted and against results altered by the decorator.
TEST_CASE("store calls are counted by kind and outcome")
{
    scripted_store inner;
    metrics registry;
    const auto store = make_metered_row_store(inner, registry);
    std::uint64_t version = 0;
    std::vector<std::error_code> failures;
    const auto keep = [&](const result<store_page>& r) {
        if (r) {
            version = r->version;
        }
        else {
            failures.push_back(r.failure().code);
        }
    };
    store->read("t", {}, 1s, keep);
    answer_oldest(inner.reads, result<store_page>{store_page{{}, 7, false}});
    store->follow("t", 7, 1s, 1s, keep);
    answer_oldest(inner.follows, result<store_page>{make_error(errc::lost_history, "gone")});
    store->follow("t", 7, 1s, 1s, keep);
    answer_oldest(inner.follows, result<store_page>{make_error(errc::malformed, "not a page")});
    store->commit({}, [&](const result<store_position>& r) { failures.push_back(r.failure().code); });
    answer_oldest(inner.writes, result<store_position>{make_error(errc::timeout, "no answer")});
    CHECK(version == 7);
    CHECK(failures == std::vector<std::error_code>{errc::lost_history, errc::malformed, errc::timeout});
    const auto text = registry.text();
    INFO(text);
    CHECK(text.find(R"(wh_store_calls_total{call="read",outcome="done"} 1)") != std::string::npos);
    CHECK(text.find(R"(wh_store_calls_total{call="follow",outcome="lost_history"} 1)") != std::string::npos);
    CHECK(text.find(R"(wh_store_calls_total{call="follow",outcome="other"} 1)") != std::string::npos);
    CHECK(text.find(R"(wh_store_calls_total{call="commit",outcome="timeout"} 1)") != std::string::npos);
    CHECK(text.find(R"(wh_store_calls_total{call="commit",outcome="done"} 0)") != std::string::npos);
}
