#include "include/quota/fleet_view.h"

#include <catch2/catch.hpp>

using namespace wagtailhatch;
using namespace std::chrono_literals;

namespace {

using addresses = std::vector<peer_address>;

const fleet_view_options options{1300ms, 2s, 12s, 1s};

/// The view of node "a" of a fleet of four, all of which allocate.
struct view_fixture {
    view_fixture()
    {
        for (const auto* name : {"b", "c", "d"}) {
            peer_presence p;
            p.address = name;
            p.linked = true;
            p.allocates = true;
            p.incarnation = 1;
            peers.push_back(p);
        }
        view.set_self(true, false);
        update(0ms);
    }

    void update(duration later)
    {
        now += later;
        view.update(peers, options, now);
    }
    void lose(std::size_t i, bool refuses = false)
    {
        peers.at(i) = {peers.at(i).address, false, false, refuses, false, false, 0};
        update(0ms);
    }

    steady_time now{1h};
    std::vector<peer_presence> peers;
    fleet_view view{"a"};
};

} // namespace

// Guards against a second allocator of a rate while the first one, which was cut off, still counts this node.
TEST_CASE("a lost node keeps its rights until it no longer counts this one, however the link ended")
{
    for (const bool refuses : {false, true}) {
        view_fixture f;
        f.lose(0, refuses);
        CHECK(f.view.reachable_fraction() == 0.75);
        CHECK(f.view.allocators() == addresses{"a", "b", "c", "d"});
        f.update(1299ms);
        CHECK(f.view.allocators() == addresses{"a", "b", "c", "d"});
        f.update(1ms);
        CHECK(f.view.allocators() == addresses{"a", "c", "d"});
        CHECK(f.view.reachable_fraction() == 0.75);
    }
}

// Guards against a rate that is not allocated although its allocator is known to have ended.
TEST_CASE("a node that leaves or starts again gives up its rights at once")
{
    view_fixture f;
    f.lose(0);
    f.peers.at(0).linked = true; // A new process, which does not allocate yet.
    f.peers.at(0).incarnation = 2;
    f.update(100ms);
    CHECK(f.view.allocators() == addresses{"a", "c", "d"});
    CHECK(f.view.reachable_fraction() == 1);
    f.peers.erase(f.peers.begin() + 1);
    f.update(100ms);
    CHECK(f.view.allocators() == addresses{"a", "d"});
    CHECK(f.view.reachable_fraction() == 1);
    f.peers.at(1).leaving = true;
    f.update(100ms);
    CHECK(f.view.allocators() == addresses{"a"});
}

// Messages are lost in one direction. Guards against counting a node that has stopped counting on this one.
TEST_CASE("a node that is not heard is not counted, and its rights lapse from then on")
{
    view_fixture f;
    f.peers.at(0).suspect = true;
    f.update(0ms);
    CHECK(f.view.reachable_fraction() == 0.75);
    CHECK(f.view.allocators() == addresses{"a", "b", "c", "d"});
    f.update(800ms);
    f.lose(0);
    f.update(499ms);
    CHECK(f.view.allocators().size() == 4);
    f.update(1ms);
    CHECK(f.view.allocators() == addresses{"a", "c", "d"});
}

// Guards against a part of every rate that is lost for good with a node that has ended, and against a cut
// with refused dials that counts as the end of the nodes behind it.
TEST_CASE("a node whose address refuses connections for long is no part of the fleet any more")
{
    view_fixture f;
    f.lose(0, true);
    f.update(11900ms);
    CHECK(f.view.reachable_fraction() == 0.75);
    f.update(100ms);
    CHECK(f.view.reachable_fraction() == 1);
    f.peers.at(0).refuses = false;
    f.update(0ms);
    CHECK(f.view.reachable_fraction() == 0.75);
}

// Guards against a starting node that allocates what a node which it has not reached yet allocates.
TEST_CASE("nodes that were never linked may have rights for a while, and count soon")
{
    view_fixture f;
    peer_presence e;
    e.address = "e";
    f.peers.push_back(e);
    f.update(0ms);
    CHECK(f.view.allocators() == addresses{"a", "b", "c", "d", "e"});
    CHECK(f.view.reachable_fraction() == 1);
    f.update(1s);
    CHECK(f.view.reachable_fraction() == 0.8);
    f.update(300ms);
    CHECK(f.view.allocators() == addresses{"a", "b", "c", "d"});
}

// Guards against callers that are sent to a node before anybody is known to allocate their rates.
TEST_CASE("an allocator is known only if it is this node or linked")
{
    fleet_view view{"a"};
    peer_presence b;
    b.address = "b";
    view.update(std::vector<peer_presence>{b}, options, steady_time{1h});
    CHECK(view.allocators() == addresses{"b"});
    CHECK_FALSE(view.allocator_known());
    b.linked = true;
    b.allocates = true;
    view.update(std::vector<peer_presence>{b}, options, steady_time{1h});
    CHECK(view.allocator_known());
}

// Guards against a part that two allocators grant after a cut has ended, and against a rate that stays
// divided for long after restarts and short interruptions.
TEST_CASE("a node that is back counts late, unless nobody else can have counted it")
{
    struct row {
        duration away;
        std::uint64_t incarnation;
        bool late;
    };
    for (const auto& r :
         std::vector<row>{{600ms, 1, false}, {700ms, 1, true}, {5s, 1, true}, {5s, 2, false}}) {
        INFO(r.away.count() << ' ' << r.incarnation);
        view_fixture f;
        const auto before = f.peers.at(0);
        f.lose(0);
        f.update(r.away);
        f.peers.at(0) = before;
        f.peers.at(0).incarnation = r.incarnation;
        f.update(0ms);
        CHECK(f.view.reachable_fraction() == (r.late ? 0.75 : 1));
        f.update(1999ms);
        CHECK(f.view.reachable_fraction() == (r.late ? 0.75 : 1));
        f.update(1ms);
        CHECK(f.view.reachable_fraction() == 1);
    }
}
