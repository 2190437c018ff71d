#include "include/membership/node_registry.h"
#include "tests/http/loop_driver.h"
#include "tests/store/scripted_store.h"

#include <catch2/catch.hpp>

using namespace wagtailhatch;
using namespace wagtailhatch::test;
using namespace std::chrono_literals;

namespace {

store_page page_of(const std::vector<peer_address>& addresses, std::uint64_t version)
{
    store_page page{{}, version, false};
    for (const auto& address : addresses) {
        page.rows.push_back({nodes_table, address, "s dc", version, false});
    }
    return page;
}

constexpr const char* own_row = "s dc 0000000000000001";

/// A page with one row.
store_page page_with(const peer_address& address, const std::string& value, store_position at)
{
    return {{{nodes_table, address, value, at.version, false}}, at.version, false, at.era};
}

struct registry_fixture {
    registry_fixture()
    {
        member self;
        self.address = "10.0.0.1:1";
        self.service = "s";
        self.data_centre = "dc";
        self.incarnation = 1;
        node_registry_options options;
        options.pause = 0ms;
        registry = std::make_unique<node_registry>(
            io, store, self, options,
            node_registry::events{[this](const std::vector<peer_address>& nodes) {
                                      found.insert(found.end(), nodes.begin(), nodes.end());
                                  },
                                  [this](const peer_address& node) { removed.push_back(node); },
                                  [this] { ++full_reads; }});
        registry->start();
    }

    /// Completes the start in era 1 of the store, with the own row at version 5. Another node follows the
    /// table.
    void start_without_following()
    {
        registry->set_active(false);
        answer_oldest(store.writes, result<store_position>{store_position{1, 5}});
        answer_oldest(store.reads, result<store_page>{page_with("10.0.0.1:1", own_row, {1, 5})});
        settle(io);
    }

    /// Learns of era 2 and completes the write of the own row and the read that follow.
    void enter_second_era(const store_page& rows)
    {
        registry->on_store_era(2);
        REQUIRE(run_until(io, [&] { return store.writes.size() == 1; }));
        answer_oldest(store.writes, result<store_position>{store_position{2, 4}});
        REQUIRE(store.reads.size() == 1);
        answer_oldest(store.reads, result<store_page>{rows});
    }

    asio::io_context io{1};
    scripted_store store;
    std::vector<peer_address> found;
    std::vector<peer_address> removed;
    int full_reads = 0;
    std::unique_ptr<node_registry> registry;
};

} // namespace

// Guards against two nodes that start simultaneously and read the table before either has written its row: if
// neither follows the table, they would never find each other.
TEST_CASE("the rows are read after the own row is written")
{
    registry_fixture f;
    settle(f.io);
    CHECK(f.store.reads.empty());
    answer_oldest(f.store.writes, result<store_position>{store_position{1, 5}});
    REQUIRE(f.store.reads.size() == 1);
    answer_oldest(f.store.reads, result<store_page>{page_of({"10.0.0.2:1"}, 6)});
    CHECK(f.found == std::vector<peer_address>{"10.0.0.2:1"});
    CHECK(run_until(f.io, [&] { return f.store.follows.size() == 1; }));
    CHECK(f.store.followed_after == 6);
}

// Guards against a startup that waits for a store which does not answer writes, and against a second sequence
// of calls when the answer finally arrives.
TEST_CASE("a write without an answer does not block the first read")
{
    registry_fixture f;
    REQUIRE(run_until(f.io, [&] { return f.store.reads.size() == 1; }));
    answer_oldest(f.store.writes, result<store_position>{store_position{1, 5}});
    REQUIRE(f.store.reads.size() == 2);
    answer_oldest(f.store.reads, result<store_page>{page_of({"10.0.0.2:1"}, 4)});
    answer_oldest(f.store.reads, result<store_page>{page_of({"10.0.0.3:1"}, 6)});
    CHECK(f.found == std::vector<peer_address>{"10.0.0.2:1", "10.0.0.3:1"});
    REQUIRE(run_until(f.io, [&] { return !f.store.follows.empty(); }));
    settle(f.io);
    CHECK(f.store.follows.size() == 1);
}

// Guards against store calls of nodes that need not follow the table, and against missing changes meanwhile.
TEST_CASE("an inactive registry makes no call and reads all rows when it becomes active again")
{
    registry_fixture f;
    answer_oldest(f.store.writes, result<store_position>{store_position{1, 5}});
    answer_oldest(f.store.reads, result<store_page>{page_of({"10.0.0.2:1"}, 6)});
    REQUIRE(run_until(f.io, [&] { return f.store.follows.size() == 1; }));
    f.registry->set_active(false);
    store_page change{{{nodes_table, "10.0.0.2:1", {}, 7, true}}, 7, false};
    answer_oldest(f.store.follows, result<store_page>{change});
    CHECK(f.removed == std::vector<peer_address>{"10.0.0.2:1"});
    settle(f.io);
    CHECK(f.store.follows.empty());
    f.registry->set_active(true);
    REQUIRE(f.store.reads.size() == 1);
}

// A stopping node's last call to the store is performed seconds later, when the next process on this address
// has written its row. Guards against removing that row, after which the others would forget a live node.
TEST_CASE("leaving removes only the row that this process has written")
{
    registry_fixture f;
    answer_oldest(f.store.writes, result<store_position>{store_position{1, 5}});
    f.registry->leave([] {});
    REQUIRE(f.store.last_transaction.remove.size() == 1);
    REQUIRE(f.store.last_transaction.preconditions.size() == 1);
    CHECK(f.store.last_transaction.preconditions.front().key == "10.0.0.1:1");
    CHECK(f.store.last_transaction.preconditions.front().version == 5);
}

// Guards against a node that takes a part of the fleet, or nothing, for all of it.
TEST_CASE("the fleet counts as read once all rows have been")
{
    registry_fixture f;
    answer_oldest(f.store.writes, result<store_position>{store_position{1, 5}});
    CHECK(f.full_reads == 0);
    auto first = page_of({"10.0.0.2:1"}, 6);
    first.truncated = true;
    answer_oldest(f.store.reads, result<store_page>{first});
    CHECK(f.full_reads == 0);
    answer_oldest(f.store.reads, result<store_page>{page_of({"10.0.0.3:1"}, 6)});
    CHECK(f.full_reads == 1);
    CHECK(f.found.size() == 2);
}

// The store returns without the row that this node has written. Guards against a node that no node which
// starts afterwards finds.
TEST_CASE("the own row is written again after the store has returned from an older copy")
{
    registry_fixture f;
    answer_oldest(f.store.writes, result<store_position>{store_position{1, 5}});
    answer_oldest(f.store.reads, result<store_page>{store_page{{}, 6, false, 1}});
    REQUIRE(run_until(f.io, [&] { return f.store.follows.size() == 1; }));
    answer_oldest(f.store.follows, result<store_page>{store_page{{}, 9, false, 2}});
    CHECK(run_until(f.io, [&] { return f.store.writes.size() == 1; }));
}

// The store returns without the rows of some nodes that don't follow it. Guards against two nodes that never
// find each other: the row must be written again, and all rows read afterwards.
TEST_CASE("a node that does not follow the store writes its row and reads all rows again in a new era")
{
    registry_fixture f;
    f.start_without_following();
    CHECK(f.store.reads.empty());
    f.registry->on_store_era(1);
    settle(f.io);
    CHECK(f.store.writes.empty());
    f.enter_second_era(page_with("10.0.0.2:1", "s dc 0000000000000002", {2, 4}));
    CHECK(f.store.last_transaction.set.front().value == own_row);
    CHECK(f.found.back() == "10.0.0.2:1");
    settle(f.io);
    CHECK(f.store.follows.empty());
}

// Guards against an acknowledgement of the old era that is taken for one of the new: the store has lost the
// row.
TEST_CASE("a write acknowledged in an older era is repeated")
{
    registry_fixture f;
    f.registry->on_store_era(2);
    answer_oldest(f.store.writes, result<store_position>{store_position{1, 5}});
    REQUIRE(run_until(f.io, [&] { return f.store.writes.size() == 1; }));
    answer_oldest(f.store.writes, result<store_position>{store_position{2, 4}});
    settle(f.io);
    CHECK(f.store.writes.empty());
}

// Guards against a write that is repeated for ever because its answers name no era.
TEST_CASE("a write whose answer names no era counts as one of the known era")
{
    registry_fixture f;
    f.registry->on_store_era(2);
    answer_oldest(f.store.writes, result<store_position>{store_position{0, 5}});
    settle(f.io);
    CHECK(f.store.writes.empty());
    CHECK(f.store.reads.size() == 1);
}

// The version of the own row was given out again in a new era. Guards against a leaving node that removes the
// row of another process, or leaves its own behind.
TEST_CASE("a node that leaves after the store's return removes its row by the version that the row has now")
{
    registry_fixture f;
    f.start_without_following();
    f.registry->on_store_era(2);
    bool done = false;
    SECTION("the row is the own one")
    {
        f.registry->leave([&] { done = true; });
        REQUIRE(f.store.reads.size() == 1);
        answer_oldest(f.store.reads, result<store_page>{page_with("10.0.0.1:1", own_row, {2, 3})});
        REQUIRE(f.store.writes.size() == 1);
        CHECK(f.store.last_transaction.remove.size() == 1);
        CHECK(f.store.last_transaction.preconditions.front().version == 3);
        answer_oldest(f.store.writes, result<store_position>{store_position{2, 5}});
    }
    SECTION("the row is that of the next process on this address")
    {
        f.registry->leave([&] { done = true; });
        answer_oldest(f.store.reads,
                      result<store_page>{page_with("10.0.0.1:1", "s dc 0000000000000009", {2, 5})});
        CHECK(f.store.writes.empty());
    }
    SECTION("the store has lost the row")
    {
        f.registry->leave([&] { done = true; });
        answer_oldest(f.store.reads, result<store_page>{page_with("10.0.0.2:1", own_row, {2, 5})});
        CHECK(f.store.writes.empty());
    }
    CHECK(done);
    CHECK(f.store.writes.empty());
}

// A node has left, and the store returns from a copy that still holds its row. Guards against a node that
// counts as a part of the fleet for good, and against forgetting the next process on its address.
TEST_CASE("the restored row of a node that has left is removed again, that of its successor is not")
{
    registry_fixture f;
    f.start_without_following();
    f.registry->on_node_left("10.0.0.2:1", 2);
    f.found.clear();
    f.enter_second_era(page_with("10.0.0.2:1", "s dc 0000000000000002", {2, 3}));
    CHECK(f.found.empty());
    REQUIRE(f.store.writes.size() == 1);
    CHECK(f.store.last_transaction.remove.front().key == "10.0.0.2:1");
    CHECK(f.store.last_transaction.preconditions.front().version == 3);
    f.registry->set_active(true);
    answer_oldest(f.store.reads,
                  result<store_page>{page_with("10.0.0.2:1", "s dc 0000000000000007", {2, 6})});
    CHECK(f.found == std::vector<peer_address>{"10.0.0.2:1"});
    CHECK(f.store.writes.size() == 1);
}

// Guards against a node that no one finds because another process has removed its row.
TEST_CASE("an own row that is missing or removed is written again")
{
    registry_fixture f;
    answer_oldest(f.store.writes, result<store_position>{store_position{1, 5}});
    SECTION("missing in a full read")
    {
        answer_oldest(f.store.reads,
                      result<store_page>{page_with("10.0.0.2:1", "s dc 0000000000000002", {1, 6})});
    }
    SECTION("removed")
    {
        answer_oldest(f.store.reads, result<store_page>{page_with("10.0.0.1:1", own_row, {1, 6})});
        REQUIRE(run_until(f.io, [&] { return f.store.follows.size() == 1; }));
        CHECK(f.store.writes.empty());
        store_page change{{{nodes_table, "10.0.0.1:1", {}, 7, true}}, 7, false, 1};
        answer_oldest(f.store.follows, result<store_page>{change});
    }
    CHECK(run_until(f.io, [&] { return f.store.writes.size() == 1; }));
}

// Guards against nodes that are never found because the table has many pages.
TEST_CASE("the rows of a large fleet are read to the end")
{
    registry_fixture f;
    answer_oldest(f.store.writes, result<store_position>{store_position{1, 5}});
    constexpr int pages = 50;
    for (int i = 1; i <= pages; ++i) {
        REQUIRE(f.store.reads.size() == 1);
        auto page = page_with("10.0.1." + std::to_string(i) + ":1", "s dc 0000000000000002", {1, 6});
        page.truncated = i < pages;
        answer_oldest(f.store.reads, result<store_page>{page});
    }
    CHECK(f.found.size() == pages);
    CHECK(f.full_reads == 1);
}
