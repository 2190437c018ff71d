#include "include/core/importance.h"

#include <catch2/catch.hpp>

using namespace wagtailhatch;

// Guards against a name table that is out of step with the enumeration.
TEST_CASE("importance names round trip")
{
    for (const auto level : {importance::critical, importance::high, importance::normal, importance::low}) {
        CHECK(parse_importance(to_string(level)) == level);
    }
    CHECK_FALSE(parse_importance("urgent").has_value());
    CHECK_FALSE(parse_importance("high-call").has_value());
}

// Guards against a nested call that takes precedence over a more important request, or is shed before a new
// request of its own class.
TEST_CASE("nested calls have the class directly before their request's")
{
    CHECK(nested_call_class(importance::high) < importance::high);
    CHECK(nested_call_class(importance::high) > importance::critical);
    CHECK(nested_call_class(nested_call_class(importance::normal)) == nested_call_class(importance::normal));
    CHECK(is_nested_call(nested_call_class(importance::low)));
    CHECK_FALSE(is_nested_call(importance::low));
}

// Guards against a route's importance that takes precedence over the workspace's.
TEST_CASE("workspace importance takes precedence over route importance")
{
    CHECK(combine_importance(importance::low, importance::critical) <
          combine_importance(importance::critical, importance::high));
    CHECK(combine_importance(importance::high, importance::high) <
          combine_importance(importance::normal, importance::high));
    CHECK(static_cast<std::size_t>(combine_importance(importance::low, importance::low)) < importance_count);
}
