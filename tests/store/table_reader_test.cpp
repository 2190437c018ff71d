#include "include/store/table_reader.h"
#include "tests/http/loop_driver.h"
#include "tests/store/returning_store.h"
#include "tests/store/scripted_store.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>
#include <string>
#include <vector>

using namespace wagtailhatch;
using namespace wagtailhatch::test;
using namespace std::chrono_literals;

namespace {

/// The table as the reader tells it.
class table_view final : public table_events {
public:
    void on_read_begin() override { reading_.clear(); }
    void on_read_page(const std::vector<store_row>& page, bool) override
    {
        for (const auto& row : page) {
            reading_[row.key] = row.value;
        }
    }
    void on_read_end(store_position as_of, bool) override
    {
        rows = std::move(reading_);
        reads.push_back(as_of);
    }
    void on_changes(const std::vector<store_row>& changed, store_position) override
    {
        for (const auto& row : changed) {
            if (row.removed) {
                rows.erase(row.key);
            }
            else {
                rows[row.key] = row.value;
            }
        }
    }
    void on_call_end(bool answered) override { calls.push_back(answered); }

    std::map<std::string, std::string> rows;
    std::vector<store_position> reads; ///< Positions of the full reads.
    std::vector<bool> calls;           ///< Whether each call was answered.

private:
    std::map<std::string, std::string> reading_;
};

/// Repeats a failed call at once.
table_reader_options options_without_delays()
{
    table_reader_options options;
    options.initial_backoff = 0ms;
    options.max_backoff = 0ms;
    return options;
}

template <class Store>
struct reader_fixture {
    reader_fixture() { reader.read(); }

    asio::io_context io{1};
    Store store;
    table_view view;
    table_reader reader{io, store, options_without_delays(), view};
};

store_page page_of(const std::string& key, std::uint64_t version, std::uint64_t era)
{
    return {{{"", key, "v", version, false}}, version, false, era};
}

using scripted = reader_fixture<scripted_store>;

} // namespace

// The store returns from an older copy, and its counter has passed the reader's position before the reader
// asks again, so there is no error. Guards against changes of the new era that are never read.
TEST_CASE("a table is read in full in a new era although the version has grown")
{
    scripted f;
    answer_oldest(f.store.reads, result<store_page>{page_of("a", 61, 1)});
    answer_oldest(f.store.follows, result<store_page>{store_page{{}, 72, false, 2}});
    REQUIRE(f.store.reads.size() == 1);
    answer_oldest(f.store.reads, result<store_page>{page_of("b", 72, 2)});
    CHECK(f.view.rows.count("b") == 1);
    CHECK(f.view.rows.count("a") == 0);
    CHECK(f.store.followed_after == 72);
    CHECK(f.view.calls == std::vector<bool>{true, false, true});
}

// Guards against a table put together from two histories of the store.
TEST_CASE("a full read whose pages come from two eras begins again")
{
    scripted f;
    auto first = page_of("a", 61, 1);
    first.truncated = true;
    answer_oldest(f.store.reads, result<store_page>{first});
    answer_oldest(f.store.reads, result<store_page>{page_of("b", 45, 2)});
    CHECK(f.view.reads.empty());
    REQUIRE(f.store.reads.size() == 1);
    CHECK(f.store.read_from.empty());
    answer_oldest(f.store.reads, result<store_page>{page_of("b", 46, 2)});
    CHECK(f.view.rows == std::map<std::string, std::string>{{"b", "v"}});
    CHECK(f.view.reads == std::vector<store_position>{{2, 46}});
}

// Guards against lost changes that a late answer brings back, and against a position of the older era.
TEST_CASE("an answer of an older era is not used")
{
    scripted f;
    answer_oldest(f.store.reads, result<store_page>{page_of("a", 45, 2)});
    answer_oldest(f.store.follows, result<store_page>{page_of("lost", 62, 1)});
    CHECK(f.view.rows.count("lost") == 0);
    answer_oldest(f.store.reads, result<store_page>{page_of("lost", 62, 1)});
    CHECK(f.view.rows.count("lost") == 0);
    answer_oldest(f.store.reads, result<store_page>{page_of("a", 46, 2)});
    CHECK(f.reader.position() == store_position{2, 46});
}

// Guards against a reader that waits for its long poll to time out, because its connection went silent, while
// others already know that the store has returned.
TEST_CASE("news of a new era replaces the call in progress")
{
    scripted f;
    answer_oldest(f.store.reads, result<store_page>{page_of("a", 61, 1)});
    REQUIRE(f.store.follows.size() == 1);
    f.reader.on_era(1);
    CHECK(f.store.reads.empty());
    f.reader.on_era(2);
    REQUIRE(f.store.reads.size() == 1);
    answer_oldest(f.store.follows, result<store_page>{page_of("lost", 62, 1)});
    CHECK(f.view.rows.count("lost") == 0);
    answer_oldest(f.store.reads, result<store_page>{page_of("b", 45, 2)});
    CHECK(f.reader.position() == store_position{2, 45});
    CHECK(f.store.follows.size() == 1);
}

// Guards against a reader that stops, or reads the table again and again, because of answers without an era.
TEST_CASE("an answer that names no era counts as one of the known era")
{
    scripted f;
    answer_oldest(f.store.reads, result<store_page>{page_of("a", 61, 3)});
    answer_oldest(f.store.follows, result<store_page>{page_of("b", 62, 0)});
    CHECK(f.view.rows.size() == 2);
    CHECK(f.reader.position() == store_position{3, 62});
    answer_oldest(f.store.follows, result<store_page>{page_of("c", 63, 3)});
    CHECK(f.store.reads.empty());
    CHECK(f.view.reads.size() == 1);
}

// Guards against missed changes if the era is not named: at least a version that goes back shows a return.
TEST_CASE("a version that goes back leads to a full read")
{
    scripted f;
    answer_oldest(f.store.reads, result<store_page>{page_of("a", 61, 0)});
    answer_oldest(f.store.follows, result<store_page>{store_page{{}, 45, false, 0}});
    REQUIRE(f.store.reads.size() == 1);
    answer_oldest(f.store.reads, result<store_page>{page_of("b", 45, 0)});
    CHECK(f.view.rows == std::map<std::string, std::string>{{"b", "v"}});
}

// Guards against an inactive reader that goes on with a position of an older era when it becomes active.
TEST_CASE("an inactive reader makes no call in a new era and reads the whole table when it becomes active")
{
    scripted f;
    f.reader.set_active(false);
    answer_oldest(f.store.reads, result<store_page>{page_of("a", 61, 1)});
    f.reader.on_era(2);
    CHECK(f.store.reads.empty());
    CHECK(f.store.follows.empty());
    f.reader.set_active(true);
    CHECK(f.store.reads.size() == 1);
}

// Returns, failures, dropped history and late answers come in any order. Guards against changes that are
// missed and lost ones that are kept.
TEST_CASE("a reader that is answered at last knows the table as it is")
{
    rc::prop("the table after a series of returns", [] {
        reader_fixture<returning_store> f;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 12));
        int value = 0;
        for (const auto step : steps) {
            const auto key = std::string(1, static_cast<char>('a' + value % 5));
            switch (step) {
            case 0:
            case 1:
                f.store.set(key, std::to_string(++value));
                break;
            case 2:
                f.store.remove(key);
                ++value;
                break;
            case 3:
                f.store.restore(static_cast<std::size_t>(*rc::gen::inRange(0, 6)));
                break;
            case 4:
                f.store.drop_history();
                break;
            case 5:
                f.store.fail();
                break;
            case 6:
            case 7:
            case 8:
                f.store.execute();
                break;
            default:
                f.store.answer();
                break;
            }
        }
        constexpr int enough_calls = 40;
        for (int call = 0; call < enough_calls; ++call) {
            f.store.execute();
            f.store.answer();
        }
        RC_ASSERT(f.view.rows == f.store.content());
        RC_ASSERT(f.reader.position() == f.store.position());
    });
}
