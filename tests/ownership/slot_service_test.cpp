#include "tests/ownership/simulation.h"

#include <catch2/catch.hpp>

using namespace wagtailhatch;
using sim::ms;

// Guards against a start that leaves slots without an owner or a workspace without its tokens.
TEST_CASE("a fleet without faults answers takes and orders")
{
    sim::world w{{}};
    for (int i = 0; i < 20; ++i) {
        w.take(i, 1);
    }
    for (int i = 0; i < 10; ++i) {
        w.order(i, i);
    }
    w.advance(3000 * ms);
    CHECK(w.violation().empty());
    CHECK(w.granted == 20);
    CHECK(w.unanswered() == 0);
    int answered = 0;
    for (const auto& [request, o] : w.orders) {
        answered += o.what == outcome::answered ? 1 : 0;
    }
    CHECK(answered >= 6);
}
