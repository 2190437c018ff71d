#include "include/membership/target_tracker.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace wagtailhatch;
using namespace std::chrono_literals;

namespace {

const steady_time now{1h};

target_announcement announcement(const std::string& id, std::uint64_t start_time_ms, std::uint64_t sequence,
                                 bool draining = false)
{
    return {id, "labels", "10.0.0.1:80", "north", 12, draining, {}, sequence, start_time_ms};
}

/// Of a node that started long ago.
target_tracker make_tracker()
{
    return {"labels", "10.0.0.1:80", now - 1h};
}

target_tracker make_restarted_tracker(steady_time started = now)
{
    return {"labels", "10.0.0.1:80", started};
}

} // namespace

// Guards against late announcements that restore outdated state.
TEST_CASE("announcements are ordered by incarnation and sequence")
{
    auto t = make_tracker();
    CHECK(t.state().phase == target_phase::unknown);
    CHECK(t.on_announcement(announcement("a", 100, 5), now) == announcement_result::applied);
    CHECK(t.state().phase == target_phase::ready);
    CHECK(t.on_announcement(announcement("a", 100, 5, true), now) == announcement_result::stale);
    CHECK(t.on_announcement(announcement("a", 100, 6, true), now) == announcement_result::applied);
    CHECK(t.state().phase == target_phase::draining);
    CHECK(t.on_announcement(announcement("b", 200, 1), now) == announcement_result::applied);
    CHECK(t.state().id == "b");
    CHECK(t.on_announcement(announcement("a", 100, 9), now) == announcement_result::stale);
    CHECK(t.state().phase == target_phase::ready);
}

// Guards against sending work to a target again after its leave was acknowledged.
TEST_CASE("a leaving incarnation stays leaving, a new one with the same id does not")
{
    auto t = make_tracker();
    t.on_announcement(announcement("a", 100, 1), now);
    CHECK(t.on_leave("a", 100) == announcement_result::applied);
    CHECK(t.state().phase == target_phase::gone);
    t.on_announcement(announcement("a", 100, 2), now);
    CHECK(t.state().phase == target_phase::gone);
    t.on_announcement(announcement("a", 300, 1), now);
    CHECK(t.state().phase == target_phase::ready);
    CHECK(t.on_leave("a", 100) == announcement_result::stale);
    CHECK(t.state().phase == target_phase::ready);
    CHECK(t.on_leave("other", std::nullopt) == announcement_result::stale);
}

// Guards against sending work to a target of another service that has taken over the address.
TEST_CASE("announcements of another service or address change nothing")
{
    auto t = make_tracker();
    auto foreign = announcement("a", 100, 1);
    foreign.service = "orders";
    CHECK(t.on_announcement(foreign, now) == announcement_result::foreign);
    foreign = announcement("a", 100, 1);
    foreign.address = "10.0.0.2:80";
    CHECK(t.on_announcement(foreign, now) == announcement_result::foreign);
    CHECK(t.state() == target_state{});
}

// Guards against a health check that overrides the target's announcements.
TEST_CASE("a probe has effect only before the first announcement")
{
    auto t = make_tracker();
    t.on_probe("a", 7, std::nullopt, now);
    CHECK(t.state().phase == target_phase::ready);
    CHECK(t.state().slots == 7);
    t.on_announcement(announcement("a", 100, 1, true), now);
    t.on_probe("a", 7, std::nullopt, now);
    CHECK(t.state().phase == target_phase::draining);
}

// Guards against a cold start that is unknown because the health check's word on it is dropped, and against a
// message that tells nothing about it being taken for one that tells the target is warm.
TEST_CASE("the cold start of a target is known from probes and announcements that tell it")
{
    auto t = make_tracker();
    t.on_probe("a", 7, 3s, now);
    CHECK(t.state().cold_until == now + 3s);
    CHECK(t.state().cold_reported == now);
    auto told = announcement("a", 100, 1);
    told.cold_left = 2s;
    t.on_announcement(told, now + 500ms);
    CHECK(t.state().cold_until == now + 2500ms);
    t.on_announcement(announcement("a", 100, 2), now + 1s);
    CHECK(t.state().cold_until == now + 2500ms);
    CHECK(t.state().cold_reported == now + 500ms);
    t.on_announcement(announcement("b", 200, 1), now + 2s);
    CHECK(t.state().cold_reported == steady_time{});
}

// A late announcement of the time before the target turned cold again. Guards against a cold target that
// counts as warm.
TEST_CASE("a late announcement does not end a cold start")
{
    auto t = make_tracker();
    auto cold = announcement("a", 100, 3);
    cold.cold_left = 4s;
    auto warm = announcement("a", 100, 2);
    warm.cold_left = 0s;
    t.on_announcement(cold, now);
    CHECK(t.on_announcement(warm, now + 100ms) == announcement_result::stale);
    CHECK(t.state().cold_until == now + 4s);
}

// Guards against any order of delivery in which an incarnation that has left becomes ready again.
TEST_CASE("no order of late announcements revives an incarnation that left")
{
    rc::prop("any order", [](const std::vector<std::uint8_t>& events) {
        auto t = make_tracker();
        std::uint64_t newest_left = 0;
        for (const auto e : events) {
            const std::uint64_t start_time_ms = 1 + e % 4;
            const auto id = "t" + std::to_string(start_time_ms);
            if (e % 3 == 0) {
                if (t.on_leave(id, start_time_ms) == announcement_result::applied) {
                    newest_left = std::max(newest_left, start_time_ms);
                }
            }
            else {
                t.on_announcement(announcement(id, start_time_ms, e, e % 5 == 0), now);
            }
            if (t.state().phase == target_phase::ready) {
                RC_ASSERT(t.state().id > "t" + std::to_string(newest_left));
            }
        }
    });
}

// Guards against a target that is used again by a late announcement after it has said in a response that it
// leaves (DRAIN), and against a new start of it that stays unused.
TEST_CASE("a target that says in a response that it leaves stays unavailable until its next start")
{
    auto t = make_tracker();
    REQUIRE(t.on_announcement(announcement("a", 100, 1), now) == announcement_result::applied);
    CHECK(t.on_leaving_response("other") == announcement_result::stale);
    CHECK(t.state().phase == target_phase::ready);
    CHECK(t.on_leaving_response("a") == announcement_result::applied);
    CHECK(t.on_leaving_response("a") == announcement_result::stale);
    t.on_announcement(announcement("a", 100, 2), now);
    CHECK(t.state().phase == target_phase::draining);
    t.on_announcement(announcement("a", 200, 1), now);
    CHECK(t.state().phase == target_phase::ready);
}

// A node restarts after it has acknowledged that its target leaves, and an earlier announcement arrives late.
// Guards against sending work to that target again (DRAIN).
TEST_CASE("after a restart an announcement counts once a health check confirms it")
{
    auto t = make_restarted_tracker();
    CHECK(t.on_announcement(announcement("a", 100, 5), now + 1s) == announcement_result::unconfirmed);
    CHECK(t.state().phase == target_phase::unknown);
    CHECK(t.needs_probe(now + 1s));
    CHECK(t.has_unconfirmed(now + 1s));
    t.on_probe("a", 7, std::nullopt, now + 1s);
    CHECK(t.state().phase == target_phase::ready);
    CHECK(t.state().slots == 12);
    CHECK_FALSE(t.has_unconfirmed(now + 1s));
    CHECK(t.on_announcement(announcement("a", 100, 6), now + 2s) == announcement_result::applied);
}

// Guards against a target that says it leaves and gets work, and against a health check of another
// incarnation that confirms it.
TEST_CASE("only the incarnation that a health check has found is confirmed")
{
    auto t = make_restarted_tracker();
    t.on_announcement(announcement("a", 100, 5), now + 1s);
    CHECK(t.on_leave("a", 100) == announcement_result::applied);
    t.on_probe("a", 7, std::nullopt, now + 1s);
    CHECK(t.state().phase == target_phase::gone);
    t.on_announcement(announcement("b", 200, 1), now + 2s);
    CHECK(t.state().phase == target_phase::gone);
    t.on_probe("b", 7, std::nullopt, now + 2s);
    CHECK(t.state().phase == target_phase::ready);
    t.on_announcement(announcement("c", 300, 1), now + 3s);
    t.on_probe("b", 7, std::nullopt, now + 3s);
    CHECK(t.state().id == "b");
    CHECK_FALSE(t.has_unconfirmed(now + 3s));
    CHECK(t.on_announcement(announcement("b", 200, 2, true), now + 4s) == announcement_result::applied);
    CHECK(t.state().phase == target_phase::draining);
}

// Guards against a target that stays unused because its health checks fail or get no answer.
TEST_CASE("announcements count by themselves once none from before the restart can arrive")
{
    auto t = make_restarted_tracker();
    CHECK(t.on_announcement(announcement("a", 100, 5), now + 9s) == announcement_result::unconfirmed);
    CHECK_FALSE(t.has_unconfirmed(now + 10s));
    CHECK(t.on_announcement(announcement("a", 100, 6), now + 10s) == announcement_result::applied);
    CHECK(t.state().phase == target_phase::ready);
}

// Guards against any series of restarts and late announcements after which a target that has left gets work.
TEST_CASE("no order of restarts and late announcements revives an incarnation that left")
{
    rc::prop("any order", [](const std::vector<std::uint8_t>& events) {
        auto at = now;
        auto t = make_restarted_tracker(at);
        std::uint64_t newest_left = 0;
        for (const auto e : events) {
            const std::uint64_t start_time_ms = 1 + e % 4;
            const auto id = "t" + std::to_string(start_time_ms);
            at += 1ms;
            switch (e % 5) {
            case 0:
                if (t.on_leave(id, start_time_ms) == announcement_result::applied) {
                    newest_left = std::max(newest_left, start_time_ms);
                }
                break;
            case 1:
                t = make_restarted_tracker(at);
                break;
            case 2:
                if (start_time_ms > newest_left) {
                    t.on_probe(id, 7, std::nullopt, at);
                }
                break;
            default:
                t.on_announcement(announcement(id, start_time_ms, e), at);
            }
            if (t.state().phase == target_phase::ready) {
                RC_ASSERT(t.state().id > "t" + std::to_string(newest_left));
            }
        }
    });
}
