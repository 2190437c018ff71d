// For each mechanism: a fault that it withstands, and the same fault with the mechanism switched off, where
// the oracles must notice.
#include "tests/ownership/simulation.h"

#include <catch2/catch.hpp>

using namespace wagtailhatch;
using sim::ms;

namespace {

sim::settings one_data_centre(int nodes)
{
    sim::settings s;
    s.data_centres = 1;
    s.nodes = nodes;
    s.slots = 1;
    s.skewed_clocks = false;
    return s;
}

void order_all(sim::world& w, int node)
{
    for (int key = 0; key < 10; ++key) {
        w.order(node, key);
    }
}

int neither(const sim::world& w)
{
    const auto [owner, partner] = w.pair_of(0);
    for (int i = 0; i < w.count(); ++i) {
        if (i != owner && i != partner) {
            return i;
        }
    }
    return 0;
}

std::string partner_lost_before_takeover(const sim::weakness& weak)
{
    auto s = one_data_centre(3);
    s.weak = weak;
    sim::world w{s};
    const auto [owner, partner] = w.pair_of(0);
    const int entry = neither(w);
    w.cut(owner, partner);
    order_all(w, entry);
    w.advance(200 * ms);
    w.crash(owner);
    w.advance(4000 * ms);
    order_all(w, entry);
    w.advance(3000 * ms);
    return w.violation();
}

std::string owner_paused_past_takeover(const sim::weakness& weak)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        auto s = one_data_centre(3);
        s.seed = seed;
        s.weak = weak;
        sim::world w{s};
        const int owner = w.pair_of(0).first;
        const int entry = neither(w);
        w.pause(owner);
        w.advance(1500 * ms);
        order_all(w, entry);
        w.advance(500 * ms);
        w.wake(owner);
        order_all(w, owner);
        w.advance(3000 * ms);
        if (!w.violation().empty()) {
            return w.violation();
        }
    }
    return {};
}

std::string both_write(const sim::weakness& weak)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        auto s = one_data_centre(2);
        s.seed = seed;
        s.weak = weak;
        sim::world w{s};
        w.table_slow = true;
        w.cut(0, 1);
        w.cut(1, 0);
        for (int i = 0; i < 10; ++i) {
            w.advance(700 * ms);
            order_all(w, 0);
            order_all(w, 1);
        }
        if (!w.violation().empty()) {
            return w.violation();
        }
    }
    return {};
}

std::string pair_cut_off(const sim::weakness& weak)
{
    auto s = one_data_centre(3);
    s.weak = weak;
    sim::world w{s};
    const int third = neither(w);
    for (int i = 0; i < w.count(); ++i) {
        if (i != third) {
            w.cut(i, third);
            w.cut(third, i);
        }
    }
    for (int i = 0; i < 400; ++i) {
        w.advance(20 * ms);
        w.take(third, 3);
        w.take(w.pair_of(0).first, 3);
        w.take((third + 1) % 3, 3);
        w.take((third + 2) % 3, 3);
    }
    return w.violation();
}

std::string weights_moved_while_cut(const sim::weakness& weak)
{
    sim::settings s;
    s.data_centres = 2;
    s.skewed_clocks = false;
    s.weak = weak;
    sim::world w{s};
    w.cut_data_centre(1);
    w.configure(50, {4, 1});
    for (int i = 0; i < 400; ++i) {
        w.advance(50 * ms);
        w.take(i, 5);
        w.take(i + 3, 5);
    }
    return w.violation();
}

std::string tokens_kept(const sim::weakness& weak)
{
    auto s = one_data_centre(2);
    s.burst = 100;
    s.weak = weak;
    sim::world w{s};
    w.take(0, 40);
    w.advance(4300 * ms);
    w.take(0, 1);
    w.advance(3000 * ms);
    w.take(1, 100);
    w.take(0, 12);
    w.advance(1000 * ms);
    return w.violation();
}

} // namespace

// Guards against an owner that runs an order its partner does not know of.
TEST_CASE("an owner acts only on its partner's acknowledgement")
{
    CHECK(partner_lost_before_takeover({}).empty());
    CHECK_FALSE(partner_lost_before_takeover({.partner_not_awaited = true}).empty());
}

// Guards against an owner that wakes after a takeover and goes on under its old epoch.
TEST_CASE("a partner that takes over acknowledges nothing more of the old epoch")
{
    CHECK(owner_paused_past_takeover({}).empty());
    CHECK_FALSE(owner_paused_past_takeover({.partner_not_sealed = true}).empty());
}

// Guards against two owners when owner and partner lose sight of each other.
TEST_CASE("of two writes of a row one wins")
{
    CHECK(both_write({}).empty());
    CHECK_FALSE(both_write({.conditions_ignored = true}).empty());
}

// Guards against a third node that takes a slot while its pair goes on elsewhere.
TEST_CASE("a suspicion is no evidence that a pair has ended")
{
    CHECK(pair_cut_off({}).empty());
    CHECK_FALSE(pair_cut_off({.suspicion_is_evidence = true}).empty());
}

// Guards against a share that rises before it was lowered elsewhere.
TEST_CASE("a share rises only after all other data centres confirmed")
{
    CHECK(weights_moved_while_cut({}).empty());
    CHECK_FALSE(weights_moved_while_cut({.confirmations_forged = true}).empty());
}

// Guards against tokens spent after their mint has counted them as expired.
TEST_CASE("a holder spends a grant only within its lifetime")
{
    CHECK(tokens_kept({}).empty());
    CHECK_FALSE(tokens_kept({.expiry_left_out = true}).empty());
}
