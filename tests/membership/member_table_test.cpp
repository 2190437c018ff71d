#include "include/membership/member_table.h"
#include "src/membership/table_sync.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>

using namespace wagtailhatch;

namespace {

rc::Gen<member> any_member(int ids)
{
    return rc::gen::map(rc::gen::tuple(rc::gen::inRange(0, ids), rc::gen::inRange(1, 4),
                                       rc::gen::inRange(0, 3), rc::gen::inRange(0, 6)),
                        [](const std::tuple<int, int, int, int>& parts) {
                            const auto [id, incarnation, refutation, state] = parts;
                            return member{"i" + std::to_string(id),
                                          "labels",
                                          "dc",
                                          "10.0.0.1:" + std::to_string(id),
                                          static_cast<std::uint64_t>(incarnation),
                                          static_cast<std::uint32_t>(refutation),
                                          static_cast<member_state>(state)};
                        });
}

} // namespace

// Guards against results that depend on the order in which records arrive.
TEST_CASE("member table merges in any order")
{
    rc::prop("any order", [] {
        auto records = *rc::gen::container<std::vector<member>>(any_member(4));
        const auto shuffle_seed = *rc::gen::arbitrary<std::uint32_t>();
        member_table a;
        member_table b;
        for (const auto& m : records) {
            a.merge(m, {});
        }
        std::shuffle(records.begin(), records.end(), std::mt19937{shuffle_seed});
        for (const auto& m : records) {
            b.merge(m, {});
            b.merge(m, {});
        }
        RC_ASSERT(a.digest() == b.digest());
        RC_ASSERT(a.live_count() == b.live_count());
        RC_ASSERT(a.live().size() == a.live_count());
        const auto left = a.all();
        const auto right = b.all();
        RC_ASSERT(left.size() == right.size());
        for (std::size_t i = 0; i < left.size(); ++i) {
            RC_ASSERT(left[i].state == right[i].state);
            RC_ASSERT(left[i].incarnation == right[i].incarnation);
        }
    });
}

// Guards against a member that ended coming back under the same incarnation.
TEST_CASE("member table keeps final states")
{
    rc::prop("final", [] {
        member_table table;
        auto ended = *any_member(1);
        ended.state = *rc::gen::element(member_state::dead, member_state::left);
        table.merge(ended, {});
        auto late = *any_member(1);
        late.incarnation = std::min(late.incarnation, ended.incarnation);
        table.merge(late, {});
        RC_ASSERT(is_final(table.find("i0")->state));
        late.incarnation = ended.incarnation + 1;
        table.merge(late, {});
        RC_ASSERT(table.find("i0")->state == late.state);
    });
}

// Guards against comparisons of tables that end without agreement, also when many messages are needed.
TEST_CASE("table sync brings a table up to date")
{
    const auto size = GENERATE(0, 1, 13, 64, 65, 300, 500);
    member_table source;
    member_table target;
    for (int i = 0; i < size; ++i) {
        member m{"instance-" + std::to_string(i),
                 "labels",
                 "dc1",
                 "10.0.0.1:" + std::to_string(i + 1),
                 1,
                 0,
                 member_state::ready};
        source.merge(m, {});
        if (i % 3 == 0) {
            m.state = i % 2 == 0 ? member_state::dead : member_state::leaving;
            m.refutation = 1;
            target.merge(
                i % 2 == 0 ? member{m.id, m.service, m.data_centre, m.address, 0, 0, member_state::ready} : m,
                {});
            source.merge(m, {});
        }
    }
    table_sync sync;
    int rounds = 0;
    for (; rounds < 4 && source.digest() != target.digest(); ++rounds) {
        std::optional<group_message> question = sync.begin("labels", target);
        while (question) {
            const auto asked = decode_group_message(encode_group_message(*question));
            REQUIRE(asked);
            const auto answer =
                decode_group_message(encode_group_message(table_sync::answer(*asked, source)));
            REQUIRE(answer);
            REQUIRE(sync.expects(*answer));
            bool changed = false;
            for (const auto& m : answer->updates) {
                changed = target.merge(m, {}) || changed;
            }
            question = sync.next(*answer, target, changed);
        }
    }
    CHECK(source.digest() == target.digest());
}

// Guards against tombstones that take memory for ever.
TEST_CASE("member table forgets members that ended")
{
    member_table table;
    const steady_time start{};
    for (int i = 0; i < 2000; ++i) {
        table.merge({"i" + std::to_string(i), "s", "dc", "10.0.0.1:1", 1, 0, member_state::dead}, start);
    }
    table.merge({"live", "s", "dc", "10.0.0.1:2", 1, 0, member_state::ready}, start);
    table.expire(start);
    CHECK(table.size() == 513);
    table.expire(start + std::chrono::hours{25});
    CHECK(table.size() == 1);
}
