#include "include/config/config_documents.h"
#include "include/config/key_index.h"

#include <catch2/catch.hpp>

using namespace wagtailhatch;

namespace {

std::shared_ptr<const configuration> config_with_keys()
{
    auto c = std::make_shared<configuration>();
    c->workspaces["cafe"] = {"cafe", 1, 1, {}, {{content_hash("key-one"), false}}};
    c->workspaces["deli"] = {
        "deli", 1, 1, {}, {{content_hash("key-two"), false}, {content_hash("key-old"), true}}};
    return c;
}

} // namespace

// Guards against a key that gives access to another workspace, and against withdrawn keys that are accepted.
TEST_CASE("a key maps only to its own workspace")
{
    const key_index keys{config_with_keys()};
    REQUIRE(keys.find("key-one").status == key_status::valid);
    CHECK(keys.find("key-one").workspace->name == "cafe");
    CHECK(keys.find("key-two").workspace->name == "deli");
    CHECK(keys.find("key-old").status == key_status::withdrawn);
    CHECK(keys.find("key-old").workspace == nullptr);
    CHECK(keys.find("key-onE").status == key_status::unknown);
    CHECK(keys.find("key-one ").status == key_status::unknown);
    CHECK(keys.find(content_hash("key-one")).status == key_status::unknown);
    CHECK(keys.find(std::string(513, 'k')).status == key_status::unknown);
}
