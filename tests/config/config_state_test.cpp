#include "include/config/config_state.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace wagtailhatch;

namespace {

/// A history of versions: each changes one of three documents; documents come and go.
std::vector<std::pair<config_head, document_set>> random_history(std::size_t length)
{
    std::vector<std::pair<config_head, document_set>> history(1);
    for (std::size_t version = 1; version <= length; ++version) {
        auto [head, documents] = history.back();
        const auto name = *rc::gen::element<std::string>("base", "overlay/a", "overlay/b");
        head.version = version;
        if (documents.count(name) != 0 && *rc::gen::inRange(0, 4) == 0) {
            documents.erase(name);
            head.documents.erase(name);
        }
        else {
            documents[name] = *rc::gen::container<std::string>(rc::gen::inRange('a', 'd'));
            head.documents[name] = {content_hash(documents[name]), version};
        }
        history.emplace_back(head, documents);
    }
    return history;
}

} // namespace

// Guards against patches that do not lead from one text to the other, or cut a character.
TEST_CASE("a patch turns one text into the other")
{
    rc::prop("any two texts", [] {
        const auto text = rc::gen::container<std::string>(rc::gen::element('a', 'b', '\xc3', '\xa4', '\n'));
        const auto before = *text;
        const auto after = *text;
        auto patched = before;
        RC_ASSERT(apply_patch(patched, make_patch("base", before, after)));
        RC_ASSERT(patched == after);
    });
    std::string text = "abc";
    CHECK_FALSE(apply_patch(text, {"base", 2, 2, ""}));
    CHECK_FALSE(apply_patch(text, {"base", 4, 0, ""}));
    CHECK(make_patch("base", "x\xc3\xa4", "x\xc3\xa5").prefix == 1);
}

// Guards against a node that goes back, or ends with content that was never accepted, when deltas arrive
// late, twice or out of order.
TEST_CASE("the held version only ever rises and has its accepted content")
{
    rc::prop("random deltas between nodes", [] {
        const auto history = random_history(*rc::gen::inRange<std::size_t>(1, 12));
        std::vector<config_state> nodes(3);
        std::vector<config_delta> in_flight;
        const auto steps = *rc::gen::inRange(1, 40);
        for (int i = 0; i < steps; ++i) {
            auto& node = nodes[*rc::gen::inRange<std::size_t>(0, nodes.size())];
            const auto before = node.version();
            switch (*rc::gen::inRange(0, 3)) {
            case 0: { // A read of the platform, possibly outdated.
                const auto& [head, documents] = history[*rc::gen::inRange<std::size_t>(0, history.size())];
                node.apply(head, documents);
                break;
            }
            case 1: // An answer to a peer that says it holds some version.
                in_flight.push_back(node.delta_since(*rc::gen::inRange<std::uint64_t>(0, history.size())));
                break;
            default: // Any answer sent so far, also twice.
                if (!in_flight.empty()) {
                    node.apply(in_flight[*rc::gen::inRange<std::size_t>(0, in_flight.size())]);
                }
            }
            RC_ASSERT(node.version() >= before);
            RC_ASSERT(node.head() == history[node.version()].first);
            RC_ASSERT(node.documents() == history[node.version()].second);
        }
        // A delta for exactly the held version always applies.
        auto& first = nodes[0];
        auto& second = nodes[1];
        if (first.version() > second.version()) {
            RC_ASSERT(second.apply(first.delta_since(second.version())) == apply_result::applied);
            RC_ASSERT(second.documents() == first.documents());
        }
    });
}

// Guards against content that is taken over without its hash, and against partial changes.
TEST_CASE("a version with missing or wrong content changes nothing")
{
    config_state state;
    const config_head head{1, {{"base", {content_hash("a"), 1}}, {"overlay/x", {content_hash("b"), 1}}}, ""};
    CHECK(state.apply(head, {{"base", "a"}}) == apply_result::incomplete);
    CHECK(state.apply(head, {{"base", "a"}, {"overlay/x", "c"}}) == apply_result::wrong_content);
    CHECK(state.version() == 0);
    CHECK(state.documents().empty());
    CHECK(state.apply(head, {{"base", "a"}, {"overlay/x", "b"}}) == apply_result::applied);
    config_delta forged{1, {2, {{"base", {content_hash("z"), 2}}}, ""}, {}, {{2, {{"base", 0, 0, "y"}}}}};
    CHECK(state.apply(forged) == apply_result::wrong_content);
    CHECK(state.version() == 1);
}
