#include "include/config/config_follower.h"
#include "tests/http/loop_driver.h"
#include "tests/store/scripted_store.h"

#include <catch2/catch.hpp>

using namespace wagtailhatch;
using namespace wagtailhatch::test;
using namespace std::chrono_literals;

namespace {

store_page page(const std::string& document, std::uint64_t version, std::uint64_t era = 0)
{
    return {{{"op", "config", document, version, false}}, version, false, era};
}

// Shortest time after which a node counts as connected to the store again.
constexpr auto contact_bound = 3s;

/// Decodes documents that are version numbers; "bad" fails to decode.
result<std::shared_ptr<const configuration>> decode(std::string_view document)
{
    if (document == "bad") {
        return make_error(errc::malformed, "bad");
    }
    auto c = std::make_shared<configuration>();
    c->version = std::stoull(std::string{document});
    return std::shared_ptr<const configuration>{c};
}

struct fixture {
    fixture()
        : follower{io,
                   store,
                   {"op", "config", "mark/"},
                   decode,
                   [this](const std::shared_ptr<const configuration>& c,
                          const std::shared_ptr<const std::string>&) { applied.push_back(c->version); }}
    {
        follower.on_rows([this](const followed_rows& r) {
            rows_seen.push_back(r);
            versions_at_rows.push_back(follower.version());
        });
        follower.start();
    }

    void complete_call(std::deque<std::function<void(result<store_page>)>>& calls, result<store_page> outcome)
    {
        REQUIRE(run_until(io, [&] { return !calls.empty(); }));
        const auto done = std::move(calls.front());
        calls.pop_front();
        done(std::move(outcome));
    }

    asio::io_context io{1};
    scripted_store store;
    std::vector<std::uint64_t> applied;
    std::vector<followed_rows> rows_seen;
    std::vector<std::uint64_t> versions_at_rows; ///< Configuration in force when each of them arrived.
    config_follower follower;
};

} // namespace

// Guards against an older version from the store or a peer that replaces a newer one.
TEST_CASE("only newer versions are applied, from the store and from peers")
{
    fixture f;
    f.complete_call(f.store.reads, page("5", 10));
    CHECK(f.store.followed_after == 10);
    f.complete_call(f.store.follows, page("9", 11));
    f.complete_call(f.store.follows, page("7", 12));
    f.follower.offer_document("8");
    f.follower.offer_document("12");
    f.complete_call(f.store.follows, page("11", 13));
    CHECK(f.applied == std::vector<std::uint64_t>{5, 9, 12});
}

// Guards against an invalid document that replaces a valid one.
TEST_CASE("a document that cannot be decoded leaves the last valid one in force")
{
    fixture f;
    f.complete_call(f.store.reads, page("5", 10));
    f.complete_call(f.store.follows, page("bad", 11));
    CHECK(f.follower.version() == 5);
    f.complete_call(f.store.follows, page("6", 12));
    CHECK(f.applied == std::vector<std::uint64_t>{5, 6});
}

// Guards against a follower that stops after a failed call, or misses changes after the store dropped
// history.
TEST_CASE("failed calls are retried, and lost history leads to a full read")
{
    fixture f;
    f.complete_call(f.store.reads, errc::unavailable);
    CHECK_FALSE(f.follower.store_reachable());
    f.complete_call(f.store.reads, page("5", 10));
    CHECK(f.follower.store_reachable());
    f.complete_call(f.store.follows, errc::timeout);
    f.complete_call(f.store.follows, errc::lost_history);
    f.complete_call(f.store.reads, page("6", 20));
    CHECK(f.store.followed_after == 20);
    CHECK(f.applied == std::vector<std::uint64_t>{5, 6});
}

// Guards against changes that stay unread because the answer of a store call was lost: the call must be given
// up within the time after which a node counts as connected to the store again.
TEST_CASE("a store call that is not answered is given up within the contact bound")
{
    fixture f;
    CHECK(f.store.last_timeout < contact_bound);
    f.complete_call(f.store.reads, page("5", 10));
    CHECK(f.store.last_timeout < contact_bound);
}

// Guards against a store that is slower than the time-out and would never be read.
TEST_CASE("the time-out grows while the store does not answer in time")
{
    fixture f;
    const auto first = f.store.last_timeout;
    f.complete_call(f.store.reads, errc::timeout);
    REQUIRE(run_until(f.io, [&] { return !f.store.reads.empty(); }));
    CHECK(f.store.last_timeout > first);
    f.complete_call(f.store.reads, errc::timeout);
    REQUIRE(run_until(f.io, [&] { return !f.store.reads.empty(); }));
    CHECK(f.store.last_timeout < contact_bound);
    f.complete_call(f.store.reads, page("5", 10));
    f.complete_call(f.store.follows, errc::lost_history);
    REQUIRE(run_until(f.io, [&] { return !f.store.reads.empty(); }));
    CHECK(f.store.last_timeout == first);
}

// Guards against store calls from nodes for which other nodes follow the store, and against missing changes
// that were made while the follower was inactive.
TEST_CASE("an inactive follower makes no call and reads everything again when reactivated")
{
    fixture f;
    std::vector<bool> calls_answered;
    f.follower.on_store_call_end([&](bool answered) { calls_answered.push_back(answered); });
    f.complete_call(f.store.reads, page("5", 10));
    f.follower.set_active(false);
    f.complete_call(f.store.follows, page("6", 11));
    settle(f.io);
    CHECK(f.store.follows.empty());
    f.follower.offer_document("9");
    f.follower.set_active(true);
    f.complete_call(f.store.reads, page("10", 30));
    CHECK(f.store.followed_after == 30);
    f.follower.set_active(false);
    f.follower.set_active(true);
    CHECK(f.store.reads.empty());
    CHECK(f.store.follows.size() == 1);
    f.complete_call(f.store.follows, errc::unavailable);
    CHECK(f.applied == std::vector<std::uint64_t>{5, 6, 9, 10});
    CHECK(calls_answered == std::vector<bool>{true, true, true, false});
}

// Guards against a node that serves with its first configuration before it knows the rows beside it, and
// against changes and removals that are not passed on.
TEST_CASE("rows with the prefix are passed on before the configuration of the same answer")
{
    fixture f;
    f.complete_call(
        f.store.reads,
        store_page{{{"op", "config", "5", 10, false}, {"op", "mark/a", "x", 4, false}}, 10, false});
    REQUIRE(f.rows_seen.size() == 1);
    CHECK(f.rows_seen[0].full_read);
    CHECK(f.rows_seen[0].as_of.version == 10);
    CHECK(f.rows_seen[0].rows.at(0).key == "mark/a");
    CHECK(f.versions_at_rows[0] == 0);
    CHECK(f.applied == std::vector<std::uint64_t>{5});
    f.complete_call(f.store.follows, store_page{{{"op", "other", "", 11, false}}, 11, false});
    CHECK(f.rows_seen.size() == 1);
    f.complete_call(f.store.follows, store_page{{{"op", "mark/a", "", 12, true}}, 12, false});
    REQUIRE(f.rows_seen.size() == 2);
    CHECK_FALSE(f.rows_seen[1].full_read);
    CHECK(f.rows_seen[1].as_of.version == 12);
    CHECK(f.rows_seen[1].rows.at(0).removed);
}

// Guards against rows that are missed because the table does not fit one page, and against a set that is
// taken for newer than its first page.
TEST_CASE("a full read goes on with the rows of the prefix until the last page")
{
    fixture f;
    f.complete_call(f.store.reads,
                    store_page{{{"op", "config", "5", 10, false}, {"op", "e", "", 3, false}}, 10, true});
    CHECK(f.applied.empty());
    CHECK(f.store.read_from == "mark/");
    f.complete_call(f.store.reads, store_page{{{"op", "mark/a", "", 4, false}}, 11, true});
    CHECK(f.store.read_from == std::string{"mark/a"} + '\0');
    f.complete_call(f.store.reads, errc::unavailable);
    CHECK(f.rows_seen.empty());
    f.complete_call(f.store.reads, store_page{{{"op", "config", "6", 12, false}}, 12, true});
    f.complete_call(f.store.reads, store_page{{{"op", "mark/b", "", 4, false}}, 13, true});
    f.complete_call(f.store.reads, store_page{{{"op", "zebra", "", 4, false}}, 14, true});
    REQUIRE(f.rows_seen.size() == 1);
    CHECK(f.rows_seen[0].rows.size() == 1);
    CHECK(f.rows_seen[0].rows.at(0).key == "mark/b");
    CHECK(f.rows_seen[0].as_of.version == 12);
    CHECK(f.store.followed_after == 12);
    CHECK(f.applied == std::vector<std::uint64_t>{6});
}

// Guards against a removal that is missed because the store's history is gone or its answer was cut short.
TEST_CASE("lost history and truncated changes lead to a full read of the rows")
{
    fixture f;
    f.complete_call(f.store.reads, page("5", 10));
    f.complete_call(f.store.follows, errc::lost_history);
    f.complete_call(f.store.reads, page("5", 20));
    REQUIRE(f.rows_seen.size() == 2);
    CHECK(f.rows_seen[1].full_read);
    f.complete_call(f.store.follows, store_page{{{"op", "mark/a", "", 21, false}}, 21, true});
    f.complete_call(f.store.reads, page("6", 22));
    REQUIRE(f.rows_seen.size() == 4);
    CHECK(f.rows_seen[3].full_read);
    CHECK(f.rows_seen[3].as_of.version == 22);
    CHECK(f.applied == std::vector<std::uint64_t>{5, 6});
}

// Guards against a read that never ends, or repeats the same page, while the store answers oddly.
TEST_CASE("a full read of a table without end stops at a bound")
{
    fixture f;
    int pages = 0;
    while (f.store.follows.empty()) {
        REQUIRE(++pages < 100);
        f.complete_call(f.store.reads,
                        store_page{{{"op", "mark/" + std::to_string(1000 + pages), "", 4, false}}, 10, true});
    }
    CHECK(f.rows_seen.size() == 1);
    f.complete_call(f.store.follows, errc::lost_history);
    f.complete_call(f.store.reads, store_page{{}, 11, true});
    f.complete_call(f.store.reads, store_page{{}, 11, true});
    CHECK(f.store.follows.size() == 1);
}

// The store returns from an older copy at version 41, the operators' next document is acknowledged as version
// 42, and the counter has passed the follower's position when the follower asks again, so there is no error.
// Guards against the acknowledged document never coming into force.
TEST_CASE(
    "a configuration written after the store's return is read although its version was given out before")
{
    fixture f;
    f.complete_call(f.store.reads, page("5", 61, 1));
    f.complete_call(f.store.follows, errc::unavailable);
    f.complete_call(f.store.follows, store_page{{}, 72, false, 2});
    f.complete_call(f.store.reads, page("6", 42, 2));
    CHECK(f.applied == std::vector<std::uint64_t>{5, 6});
    CHECK(f.store.followed_after == 42);
}
