#include "include/config/config_store.h"
#include "tests/config/fake_platform.h"
#include "tests/config/sample_files.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <optional>

using namespace wagtailhatch;
using namespace wagtailhatch::testing;
using namespace std::chrono_literals;

namespace {

/// One operator with an own way to the platform.
struct operator_desk {
    operator_desk(event_queue& events, platform_content& content)
        : platform{events, content}
        , store{platform, platform}
    {
    }

    void accept(const std::string& name, const std::string& text, const std::string& id)
    {
        outcome.reset();
        store.accept({{{name, name + ".yaml", text}}, {}, "ann", id},
                     [this](accept_outcome o) { outcome = std::move(o); });
    }

    fake_platform platform;
    config_store store;
    std::optional<accept_outcome> outcome;
};

struct desks {
    event_queue events;
    platform_content content;
    operator_desk a{events, content};
    operator_desk b{events, content};

    accept_status run(operator_desk& desk, const std::string& name, const std::string& text)
    {
        desk.accept(name, text, "id" + std::to_string(next_id++));
        events.run_for(10s);
        REQUIRE(desk.outcome);
        return desk.outcome->status;
    }
    config_head head() const
    {
        const auto row = content.rows.find(std::string{config_head_key});
        return row == content.rows.end() ? config_head{} : *decode_head(row->second.first);
    }
    int next_id = 0;
};

std::string on(std::uint64_t version, const std::string& text)
{
    return with_made_on(text, version);
}

} // namespace

// Guards against an operator who overwrites a change that the file was not made on.
TEST_CASE("an accept is refused when its document changed since made_on")
{
    desks d;
    CHECK(d.run(d.a, "base", sample_base) == accept_status::accepted);
    CHECK(d.run(d.a, "base", on(1, sample_base)) == accept_status::unchanged);
    CHECK(d.run(d.b, "overlay/north", sample_overlay) == accept_status::accepted);
    CHECK(d.run(d.a, "base", on(1, base_with_tokens(2))) == accept_status::accepted);
    CHECK(d.head().version == 3);
    CHECK(d.run(d.b, "base", on(1, base_with_tokens(3))) == accept_status::conflict);
    CHECK(d.b.outcome->detail.find("version 3 by ann") != std::string::npos);
    CHECK(d.b.outcome->detail.find("- retry_tokens: 1\n+ retry_tokens: 2\n") != std::string::npos);
    CHECK(d.run(d.b, "base", base_with_tokens(3)) == accept_status::conflict);
    CHECK(d.run(d.b, "base", on(9, base_with_tokens(3))) == accept_status::conflict);
    CHECK(d.run(d.b, "base", on(3, base_with_tokens(3))) == accept_status::accepted);
    CHECK(d.head().version == 4);
    CHECK(d.head().documents.at("overlay/north").changed == 2);
}

// Guards against files that are valid alone but not with what is in force, and against partial accepts.
TEST_CASE("an accept checks the combination and writes nothing if it has mistakes")
{
    desks d;
    CHECK(d.run(d.a, "overlay/north", sample_overlay) == accept_status::invalid);
    CHECK(d.run(d.a, "base", sample_base) == accept_status::accepted);
    CHECK(d.run(d.a, "overlay/north", sample_overlay) == accept_status::accepted);
    auto renamed = on(1, sample_base);
    renamed.replace(renamed.find("look-up:"), 8, "look-at:");
    CHECK(d.run(d.a, "base", renamed) == accept_status::invalid);
    REQUIRE(d.a.outcome->findings.size() == 1);
    CHECK(d.a.outcome->findings[0].file == "overlay/north (in force)");
    CHECK(d.head().version == 2);
}

// Guards against an accept that is reported as failed although it took effect, or the reverse, and against
// one that takes effect twice.
TEST_CASE("accepts tell the truth under lost answers and races")
{
    rc::prop("two operators, faulty platform", [] {
        desks d;
        RC_ASSERT(d.run(d.a, "base", sample_base) == accept_status::accepted);
        const auto faults = *rc::gen::container<std::vector<fault>>(
            24, rc::gen::weightedElement<fault>({{6, fault::none},
                                                 {1, fault::unavailable},
                                                 {2, fault::lost_before},
                                                 {2, fault::lost_after},
                                                 {2, fault::late}}));
        std::size_t used = 0;
        const auto next = [&](bool is_write) {
            return is_write && used < faults.size() ? faults[used++] : fault::none;
        };
        d.a.platform.next_fault = next;
        d.b.platform.next_fault = next;
        d.a.platform.delay = std::chrono::milliseconds{*rc::gen::inRange(1, 6)};
        d.b.platform.delay = std::chrono::milliseconds{*rc::gen::inRange(1, 6)};
        const bool same = *rc::gen::arbitrary<bool>();
        const auto before = d.head();
        const auto text_a = on(1, base_with_tokens(2));
        const auto text_b = same ? on(1, base_with_tokens(3)) : on(0, sample_overlay);
        const std::string name_b = same ? "base" : "overlay/north";
        d.a.accept("base", text_a, "a");
        d.events.run_for(std::chrono::milliseconds{*rc::gen::inRange(0, 20)});
        d.b.accept(name_b, text_b, "b");
        d.events.run_for(60s);
        RC_ASSERT(d.a.outcome.has_value());
        RC_ASSERT(d.b.outcome.has_value());
        const auto head = d.head();
        const auto won = [&](const operator_desk& desk) {
            return desk.outcome->status == accept_status::accepted;
        };
        const auto sure = [](const operator_desk& desk) {
            return desk.outcome->status != accept_status::unknown;
        };
        RC_PRE(sure(d.a) && sure(d.b));
        const int wins = (won(d.a) ? 1 : 0) + (won(d.b) ? 1 : 0);
        // Each version is one accept that was told to its operator.
        RC_ASSERT(head.version == before.version + static_cast<std::uint64_t>(wins));
        if (same) {
            RC_ASSERT(wins <= 1);
            if (wins == 1) {
                const auto& loser = won(d.a) ? d.b : d.a;
                RC_ASSERT((loser.outcome->status == accept_status::conflict ||
                           loser.outcome->status == accept_status::unavailable));
                const auto& winner_text = won(d.a) ? text_a : text_b;
                RC_ASSERT(head.documents.at("base").hash == content_hash(accepted_text(winner_text)));
            }
        }
        else {
            RC_ASSERT((head.documents.at("base").changed > 1) == won(d.a));
            RC_ASSERT((head.documents.count(name_b) == 1) == won(d.b));
        }
    });
}

// Guards against a whctl that rewrites more of the operator's file than its bookkeeping.
TEST_CASE("made_on is kept out of the accepted text")
{
    CHECK(accepted_text("a: 1\nmade_on: 4 # x\nb: 2\n") == "a: 1\nb: 2\n");
    CHECK(accepted_text("a: 1\n") == "a: 1\n");
    CHECK(with_made_on("a: 1\nmade_on: 4\n", 5) == "a: 1\nmade_on: 5\n");
    CHECK(with_made_on("a: 1\n", 5) == "made_on: 5\na: 1\n");
    CHECK(accepted_text(with_made_on("a: 1\n", 5)) == "a: 1\n");
    CHECK(describe_difference("a\nb\nc\nd\n", "a\nx\nc\ny\nd\n") == "- b\n+ x\n+ y\n");
}
