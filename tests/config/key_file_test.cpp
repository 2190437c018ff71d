#include "include/config/config_documents.h"
#include "include/config/key_file.h"
#include "tests/config/sample_files.h"

#include <catch2/catch.hpp>

using namespace wagtailhatch;
using namespace wagtailhatch::testing;

namespace {

std::string base_with(const std::string& workspaces)
{
    return "data_centres: {a: }\nservices: {s: }\nroutes: {}\nworkspaces:\n" + workspaces;
}

const std::string hash(64, 'c');

} // namespace

// Guards against an edit that drops comments or changes more than one key.
TEST_CASE("issuing or withdrawing a key changes only the lines of that key")
{
    const auto added = add_key("b", sample_base, "cafe", hash);
    REQUIRE(added);
    CHECK(describe_difference(sample_base, *added) == "+       - sha256: " + hash + "\n");
    const auto flow = add_key("b", sample_base, "deli", hash);
    REQUIRE(flow);
    CHECK(parse_base("b", *flow).value->content.workspaces.at("deli").keys.size() == 1);
    const auto withdrawn = withdraw_key("b", *added, "cccccccc");
    REQUIRE(withdrawn);
    CHECK(withdrawn->workspace == "cafe");
    CHECK(describe_difference(*added, withdrawn->text) == "+         withdrawn: true\n");
}

// Guards against edits that break a YAML layout that operators use.
TEST_CASE("keys are edited in every layout of the key list")
{
    const std::vector<std::string> layouts{
        "  w:\n    # first\n    rate: 1\n    burst: 2\n",
        "  w:\n    rate: 1\n    burst: 2\n    keys:\n",
        "  w:\n    rate: 1\n    burst: 2\n    keys: []",
        "  w: {rate: 1, burst: 2}",
        "  w: {rate: 1, burst: 2, keys: [{sha256: " + std::string(64, 'd') + "}]}\n",
        "  w:\n    rate: 1\n    burst: 2\n    keys:\n    - sha256: '" + std::string(64, 'd') +
            "' # note\n      withdrawn: false\n"};
    for (const auto& workspaces : layouts) {
        INFO(workspaces);
        const auto added = add_key("b", base_with(workspaces), "w", hash);
        REQUIRE(added);
        const auto withdrawn = withdraw_key("b", *added, hash);
        REQUIRE(withdrawn);
        const auto parsed = parse_base("b", withdrawn->text);
        REQUIRE(parsed);
        for (const auto& key : parsed.value->content.workspaces.at("w").keys) {
            CHECK(key.withdrawn == (key.sha256 == hash));
        }
    }
}

// Guards against withdrawing another key than the operator intended.
TEST_CASE("a hash prefix must match exactly one active key")
{
    CHECK_FALSE(withdraw_key("b", sample_base, "aaaaaaa"));
    CHECK_FALSE(withdraw_key("b", sample_base, "cccccccc"));
    CHECK_FALSE(withdraw_key("b", sample_base, "bbbbbbbb"));
    CHECK(withdraw_key("b", sample_base, "aaaaaaaa"));
    CHECK_FALSE(add_key("b", sample_base, "pub", hash));
    CHECK_FALSE(add_key("b", sample_base, "cafe", std::string(64, 'a')));
    const auto key = make_key();
    REQUIRE(key);
    CHECK(key->size() == 68);
    CHECK(*key != *make_key());
}
