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
    CHECK(call_class(importance::high) < importance::high);
    CHECK(call_class(importance::high) > importance::critical);
    CHECK(call_class(call_class(importance::normal)) == call_class(importance::normal));
    CHECK(is_call(call_class(importance::low)));
    CHECK_FALSE(is_call(importance::low));
}

// Guards against a route's importance that takes precedence over the workspace's.
TEST_CASE("workspace importance takes precedence over route importance")
{
    CHECK(in_workspace(importance::low, importance::critical) <
          in_workspace(importance::critical, importance::high));
    CHECK(in_workspace(importance::high, importance::high) <
          in_workspace(importance::normal, importance::high));
    CHECK(static_cast<std::size_t>(in_workspace(importance::low, importance::low)) < importance_count);
}
