#include "src/node/handle_table.h"

#include <catch2/catch.hpp>

using namespace wagtailhatch;

// Guards against a target that reuses the handle of a finished request.
TEST_CASE("a handle dies with its request")
{
    handle_table table;
    const auto call = std::make_shared<active_call>();
    const auto first = table.insert(call);
    const auto second = table.insert(std::make_shared<active_call>());
    CHECK(first != second);
    CHECK(table.find(first) == call);
    table.erase(first);
    CHECK(table.find(first) == nullptr);
    CHECK(table.find(second) != nullptr);
    CHECK(table.find("") == nullptr);
}
