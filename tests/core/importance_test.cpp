#include "include/core/importance.h"

#include <catch2/catch.hpp>

using namespace wagtailhatch;

// Guards against a name table that no longer matches the enumeration.
TEST_CASE("importance names round trip")
{
    for (std::size_t i = 0; i < importance_count; ++i) {
        const auto level = static_cast<importance>(i);
        CHECK(parse_importance(to_string(level)) == level);
    }
    CHECK_FALSE(parse_importance("urgent").has_value());
}
