#include "include/membership/evacuation.h"
#include "platform/evacuation_rows.h"

#include <catch2/catch.hpp>

using namespace wagtailhatch;
using namespace std::chrono_literals;

namespace {

const steady_time start{1h};
constexpr duration evacuate_time = 5s;
// A node may hear of a change this late: its store reader fails, and another one takes over.
constexpr duration late_news = 2s;

using names = std::vector<std::string>;

store_row row(const std::string& name, std::uint64_t version, bool removed = false,
              const std::string& value = "{}")
{
    return {"op", platform::evacuation_key_prefix + name, removed ? "" : value, version, removed};
}

} // namespace

// Guards against a node that uses an evacuated data centre again because it hears of an older state from a
// peer that cannot reach the store, or that restarted.
TEST_CASE("the newest version of the evacuated data centres wins and never goes back")
{
    evacuation_state state{evacuate_time};
    CHECK(state.merge({10, {{"north", 9}}}, false, start).begun == names{"north"});
    CHECK_FALSE(state.merge({8, {}}, false, start).any());
    CHECK_FALSE(state.merge({10, {}}, false, start).any());
    CHECK_FALSE(state.merge({}, false, start).any());
    CHECK(state.known().data_centres.count("north") == 1);
    const auto change = state.merge({12, {{"south", 12}}}, false, start + 1s);
    CHECK(change.begun == names{"south"});
    CHECK(change.ended == names{"north"});
    CHECK_FALSE(state.merge({10, {{"north", 9}}}, false, start + 2s).any());
}

// Guards against two rows that are written at the same time and are read in the wrong order: the end of an
// evacuation must not be taken for older than its begin.
TEST_CASE("of two changes of one row the later version counts")
{
    evacuation_rows rows{platform::parse_evacuation_row};
    rows.on_read({}, {0, 5});
    const std::vector<store_row> both{row("north", 8, true), row("north", 7)};
    CHECK(rows.on_changes(both, {0, 8}).data_centres.empty());
    const std::vector<store_row> again{row("north", 9)};
    CHECK(rows.on_changes(again, {0, 9}).data_centres == std::map<std::string, std::uint64_t>{{"north", 9}});
    const std::vector<store_row> stale{row("north", 6, true)};
    CHECK(rows.on_changes(stale, {0, 10}).data_centres.count("north") == 1);
    CHECK(rows.on_changes(stale, {0, 3}).version == 10);
}

// Guards against an evacuation that never ends at a node: it missed the removal, and the store no longer has
// the change.
TEST_CASE("a full read drops the data centres whose rows are gone")
{
    evacuation_rows rows{platform::parse_evacuation_row};
    const std::vector<store_row> before{row("north", 3), row("south", 4)};
    evacuation_state state{evacuate_time};
    state.merge(rows.on_read(before, {0, 5}), false, start);
    const std::vector<store_row> after{row("south", 4)};
    CHECK(state.merge(rows.on_read(after, {0, 30}), false, start).ended == names{"north"});
    CHECK(state.known() == evacuation_set{30, {{"south", 4}}});
}

// Guards against rows of other writers, or a very long list, that end the reading or fill the messages
// between nodes. All nodes must derive the same set.
TEST_CASE("evacuation rows that cannot be read are ignored, and the list is bounded")
{
    evacuation_rows rows{platform::parse_evacuation_row};
    const std::vector<store_row> odd{row("", 2),
                                     row("a b", 2),
                                     row("x/y", 2),
                                     row(std::string(300, 'n'), 2),
                                     row("no-value", 2, false, ""),
                                     row("no-object", 2, false, "7"),
                                     row("cut-off", 2, false, "{\"a\""),
                                     row("more", 2, false, "{\"By\": \"ops\"}"),
                                     row("good", 2)};
    CHECK(rows.on_read(odd, {0, 5}).data_centres ==
          std::map<std::string, std::uint64_t>{{"good", 2}, {"more", 2}});
    const std::vector<store_row> spoilt{row("good", 6, false, "x")};
    CHECK(rows.on_changes(spoilt, {0, 6}).data_centres.count("good") == 0);
    std::vector<store_row> many;
    for (std::size_t i = 0; i < max_evacuated_data_centres + 50; ++i) {
        many.push_back(row("dc" + std::to_string(1000 + i), 7));
    }
    CHECK(rows.on_read(many, {0, 7}).data_centres.size() == max_evacuated_data_centres);
    CHECK(rows.on_read(many, {0, 7}).data_centres.count("dc1000") == 1);
    // The first row that was left out takes the place of a removed one.
    const std::vector<store_row> removal{row("dc1000", 8, true)};
    CHECK(rows.on_changes(removal, {0, 8}).data_centres.size() == max_evacuated_data_centres);
    CHECK(platform::parse_evacuation_row({"op", "config", "{}", 1, false}).data_centre.empty());
}

// Guards against a load that moves to the other data centres in one step, and against requests that reach an
// evacuated target after the evacuation time although the node heard of it late.
TEST_CASE("the load is shifted gradually and completely within the evacuation time")
{
    evacuation_state state{evacuate_time};
    state.merge({2, {{"north", 2}}}, false, start);
    const auto& e = state.evacuated().front();
    CHECK(e.share(start) == 0);
    CHECK(e.share(start + 1s) == Approx(0.5));
    CHECK_FALSE(state.complete("north", start + 1s));
    CHECK(e.share(start + 2s) == 1);
    CHECK(state.complete("north", start + evacuate_time - late_news));
    CHECK_FALSE(state.complete("south", start + 1h));
    // A second data centre, and a later version of the same row, do not start the shift again.
    state.merge({3, {{"north", 3}, {"south", 3}}}, false, start + 10s);
    CHECK(state.complete("north", start + 10s));
    CHECK_FALSE(state.complete("south", start + 10s));
}

// Guards against requests to an evacuated data centre from a node that has just started.
TEST_CASE("a node that does not serve yet applies an evacuation at once")
{
    evacuation_state state{evacuate_time};
    state.merge({2, {{"north", 2}}}, true, start);
    CHECK(state.complete("north", start));
}

// Guards against a field in the messages of fleets that never evacuate, and against peers without the store
// that never hear of the end of an evacuation.
TEST_CASE("the set is sent once an evacuation has been heard of, also when it has ended")
{
    evacuation_state state{evacuate_time};
    CHECK_FALSE(state.to_send());
    state.merge({5, {}}, false, start);
    CHECK_FALSE(state.to_send());
    state.merge({6, {{"north", 6}}}, false, start);
    CHECK(state.to_send() == evacuation_set{6, {{"north", 6}}});
    state.merge({7, {}}, false, start);
    CHECK(state.to_send() == evacuation_set{7, {}});

    evacuation_state restarted{evacuate_time};
    restarted.merge({8, {}}, true, start);
    CHECK_FALSE(restarted.merge_from_peer({6, {{"north", 6}}}, false, start).any());
    CHECK(restarted.to_send() == evacuation_set{8, {}});
}

// Guards against a half of the fleet without the store that keeps another state than the half with it.
TEST_CASE("nodes cut off from the store follow the newest state among their peers")
{
    std::vector<evacuation_state> nodes(6, evacuation_state{evacuate_time});
    nodes[0].merge({4, {{"north", 4}}}, false, start);
    nodes[1].merge({9, {{"south", 8}}}, false, start);
    for (auto& to : nodes) {
        for (const auto& from : nodes) {
            if (const auto sent = from.to_send()) {
                to.merge_from_peer(*sent, false, start);
            }
        }
    }
    for (const auto& node : nodes) {
        CHECK(node.known() == evacuation_set{9, {{"south", 8}}});
    }
}

// The store returns from an older copy, and the operators end an evacuation. Guards against a data centre
// that stays evacuated because the removal's version was given out before.
TEST_CASE("a removal in a new era ends an evacuation although its version is lower")
{
    evacuation_rows rows{platform::parse_evacuation_row};
    evacuation_state state{evacuate_time};
    const std::vector<store_row> north{row("north", 61)};
    const std::vector<store_row> restored{row("north", 40)};
    const std::vector<store_row> removal{row("north", 45, true)};
    state.merge(rows.on_read(north, {1, 61}), false, start);
    CHECK_FALSE(state.merge(rows.on_read(restored, {2, 44}), false, start + 5s).any());
    CHECK(state.merge(rows.on_changes(removal, {2, 45}), false, start + 6s).ended == names{"north"});
    CHECK(state.known() == evacuation_set{45, {}, 2});
}

// Guards against a peer that hasn't heard of the store's return and brings back what the store has lost.
TEST_CASE("a set of an older era does not replace one of a newer era")
{
    evacuation_state state{evacuate_time};
    state.merge({45, {{"north", 40}}, 2}, false, start);
    const evacuation_set older{61, {}, 1};
    CHECK(state.outdated(older));
    CHECK_FALSE(state.merge_from_peer(older, false, start).any());
    CHECK(state.known().era == 2);
}

// Nodes of the last version name no era. Guards against a node that ignores them during a rolling update.
TEST_CASE("a set without an era counts as one of the known era")
{
    evacuation_state state{evacuate_time};
    state.merge({45, {}, 2}, false, start);
    CHECK(state.merge_from_peer({46, {{"north", 46}}}, false, start).begun == names{"north"});
    CHECK_FALSE(state.merge_from_peer({44, {}}, false, start).any());
    CHECK(state.known() == evacuation_set{46, {{"north", 46}}, 2});
}

// The store returns from a copy without the row of an evacuation, and the operators write it again. Guards
// against requests that reach the data centre in between, and against an evacuation that can never be ended.
TEST_CASE("an evacuation whose row the store has lost is held until it is written again or its time is over")
{
    evacuation_state state{evacuate_time};
    state.merge({61, {{"north", 61}}, 1}, false, start);
    const auto returned = start + 10s;
    CHECK_FALSE(state.merge({45, {}, 2}, false, returned).any());
    CHECK_FALSE(state.merge({46, {}, 2}, false, returned + 1s).any());
    CHECK(state.complete("north", returned + 1s));
    SECTION("written again, then ended")
    {
        CHECK_FALSE(state.merge({47, {{"north", 47}}, 2}, false, returned + 2s).any());
        CHECK_FALSE(state.end_held(returned + 1h).any());
        CHECK(state.complete("north", returned + 1h));
        CHECK(state.merge({48, {}, 2}, false, returned + 1h).ended == names{"north"});
    }
    SECTION("not written again")
    {
        CHECK_FALSE(state.end_held(returned + evacuate_time - 1ms).any());
        CHECK(state.end_held(returned + evacuate_time).ended == names{"north"});
        CHECK(state.evacuated().empty());
    }
}
