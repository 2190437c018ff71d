#include "tests/membership/network.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace wagtailhatch;
using namespace wagtailhatch::test;

namespace {

member_state shown(simulated_group& group, std::size_t observer, std::size_t subject)
{
    const auto* m = group.at(observer).table().find(make_member(subject).id);
    return m == nullptr ? member_state::left : m->state;
}

/// Checks that no observer shows an instance again under an incarnation that it has seen end.
class no_return {
public:
    void check(simulated_group& group)
    {
        for (std::size_t i = 0; i < group.size(); ++i) {
            if (!group.live(i)) {
                continue;
            }
            for (const auto& m : group.at(i).table().all()) {
                auto& last = ended_[{i, group.starts(i)}][m.id];
                if (is_final(m.state)) {
                    last = std::max(last, m.incarnation);
                }
                else {
                    violated = violated || m.incarnation <= last;
                }
            }
        }
    }
    bool violated = false;

private:
    std::map<std::pair<std::size_t, std::size_t>, std::map<std::string, std::uint64_t>>
        ended_; ///< By process.
};

void apply_fault(simulated_group& group, int kind, std::size_t a, std::size_t b)
{
    auto& net = group.net();
    switch (kind) {
    case 0:
        net.drop = static_cast<double>(a % 6) / 10;
        net.duplicate = static_cast<double>(b % 5) / 10;
        break;
    case 1:
        net.max_delay = std::chrono::milliseconds{a * 150}; // Beyond the ping timeout: reorders.
        break;
    case 2:
        net.cuts.insert({address_of(a), address_of(b)});
        break;
    case 3: // A partition into two halves.
        for (std::size_t i = 0; i < group.size(); ++i) {
            for (std::size_t j = 0; j < group.size(); ++j) {
                if ((i < a) != (j < a)) {
                    net.cuts.insert({address_of(i), address_of(j)});
                }
            }
        }
        break;
    case 4:
        net.paused.insert(address_of(a));
        break;
    case 5:
        net.paused.clear();
        net.cuts.clear();
        break;
    case 6:
        group.kill(a);
        break;
    case 7:
        group.kill(a);
        group.start(a, b % 3 == 0 ? -1 : 1); // Also with a lower number, as after a clock set back.
        break;
    case 8:
        if (group.live(a)) {
            group.at(a).set_state(member_state::leaving);
        }
        break;
    case 9:
        if (group.live(a)) {
            group.at(a).set_state(member_state::left);
            group.kill(a);
        }
        break;
    default:
        if (group.live(a)) {
            group.at(a).report_unreachable(address_of(b));
        }
        break;
    }
}

} // namespace

// Guards against views that stay different, live members that stay dead, members that return after their end,
// and messages that are too long, after any mix of faults.
TEST_CASE("swim group agrees after faults")
{
    rc::prop("faults", [](std::uint64_t seed) {
        constexpr std::size_t size = 7;
        network net{seed};
        simulated_group group{net, size};
        no_return ends;
        const auto faults = *rc::gen::container<std::vector<std::tuple<int, int, int, int>>>(
            rc::gen::tuple(rc::gen::inRange(0, 11), rc::gen::inRange<int>(0, size),
                           rc::gen::inRange<int>(0, size), rc::gen::inRange(1, 15)));
        for (const auto& [kind, a, b, periods] : faults) {
            apply_fault(group, kind, static_cast<std::size_t>(a), static_cast<std::size_t>(b));
            group.run(static_cast<std::size_t>(periods), [&] { ends.check(group); });
        }
        net.drop = net.duplicate = 0;
        net.max_delay = std::chrono::milliseconds{20};
        net.cuts.clear();
        net.paused.clear();
        // Pings that the faults swallowed may still raise suspicions after the faults; then agreement must
        // last.
        group.run(40, [&] { ends.check(group); });
        group.run(20, [&] {
            ends.check(group);
            RC_ASSERT(group.agreed());
        });
        RC_ASSERT_FALSE(ends.violated);
        RC_ASSERT_FALSE(net.oversized);
        RC_ASSERT_FALSE(net.unreadable);
    });
}

// Guards against a dead member that keeps its place, and a leaving one that is shown as ready.
TEST_CASE("swim group finds dead and leaving members")
{
    network net{1};
    simulated_group group{net, 13};
    REQUIRE(group.periods_to_agree(20) <= 20);
    group.kill(3);
    group.run(20);
    CHECK(shown(group, 0, 3) == member_state::dead);
    group.at(4).set_state(member_state::leaving);
    group.run(3);
    for (std::size_t i = 0; i < group.size(); ++i) {
        CHECK((i == 3 || shown(group, i, 4) == member_state::leaving));
    }
    group.at(4).set_state(member_state::left);
    group.kill(4);
    group.run(3);
    CHECK(shown(group, 0, 4) == member_state::left);
    CHECK(group.agreed());
}

// Guards against a lost leave message keeping a member in the group.
TEST_CASE("swim group ends a member whose leave message was lost")
{
    network net{1};
    simulated_group group{net, 5};
    REQUIRE(group.periods_to_agree(20) <= 20);
    net.drop = 1;
    group.at(2).set_state(member_state::left);
    group.kill(2);
    net.drop = 0;
    group.run(20);
    CHECK(group.agreed());
    CHECK(shown(group, 0, 2) == member_state::dead);
}

// Guards against suspicion of a member that only one other cannot reach.
TEST_CASE("swim group pings around a cut between two members")
{
    network net{1};
    simulated_group group{net, 5};
    REQUIRE(group.periods_to_agree(20) <= 20);
    net.cuts = {{address_of(0), address_of(1)}, {address_of(3), address_of(2)}};
    group.run(60, [&] { REQUIRE(shown(group, 0, 1) == member_state::ready); });
    CHECK(group.agreed());
}

// Guards against a process that was paused declaring the others dead when it goes on.
TEST_CASE("swim group does not blame others for the own pause")
{
    network net{1};
    simulated_group group{net, 5};
    REQUIRE(group.periods_to_agree(20) <= 20);
    net.paused.insert(address_of(0));
    group.run(30);
    CHECK(shown(group, 1, 0) == member_state::dead);
    net.paused.clear();
    group.run(15, [&] {
        for (std::size_t i = 1; i < group.size(); ++i) {
            REQUIRE(shown(group, 0, i) == member_state::ready);
        }
    });
    CHECK(group.agreed());
}

// Guards against an instance that keeps the address of another which has ended.
TEST_CASE("swim group ends the former owner of an address")
{
    network net{1};
    network_sender sender{net, address_of(0)};
    swim_group group{make_member(0), {}, net.time, net.random, sender};
    group_message m;
    m.service = "labels";
    m.self = make_member(1);
    group.handle(address_of(1), m);
    m.self->id = "other";
    group.handle(address_of(2), m);
    CHECK(group.table().find("i1")->state == member_state::joining);
    group.handle(address_of(1), m);
    CHECK(group.table().find("i1")->state == member_state::dead);
    CHECK(group.table().find("other")->state == member_state::joining);
}

// Guards against reports from traffic being ignored, and against them ending a live member.
TEST_CASE("swim group acts on reports of unreachable members")
{
    network net{1};
    simulated_group group{net, 5};
    REQUIRE(group.periods_to_agree(20) <= 20);
    group.at(0).report_unreachable(address_of(1));
    CHECK(shown(group, 0, 1) == member_state::suspect);
    group.run(2);
    CHECK(shown(group, 0, 1) == member_state::ready);
    group.at(0).report_unreachable(address_of(1));
    CHECK(shown(group, 0, 1) == member_state::ready);
}

// Guards against two processes that fight for one id after the older one was paused.
TEST_CASE("swim group stops a process whose id was taken over")
{
    network net{1};
    network_sender sender{net, address_of(0)};
    swim_group group{make_member(0), {}, net.time, net.random, sender};
    group_message m;
    m.service = "labels";
    m.updates.push_back(make_member(0, 5));
    m.updates[0].address = address_of(9);
    group.handle(address_of(1), m);
    CHECK(group.self().incarnation == 6); // Just started: the record is of an earlier life.
    net.time.advance(std::chrono::seconds{11});
    m.updates[0].incarnation = 9;
    group.handle(address_of(1), m);
    CHECK(group.superseded());
    CHECK(group.self().state == member_state::left);
    CHECK(group.table().find("i0")->address == address_of(9));
}
