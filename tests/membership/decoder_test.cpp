#include "include/membership/group_message.h"
#include "src/membership/instance_row.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace wagtailhatch;

namespace {

group_message full_message()
{
    group_message m;
    m.type = group_message::kind::ping_request;
    m.service = "labels";
    m.sequence = 77;
    m.target = "[::1]:9";
    m.table_digest = 0x0102030405060708U;
    m.table_size = 3;
    m.detailed = true;
    m.bucket = 1;
    m.buckets = 2;
    m.entries = {{1, 2}, {3, 4}};
    m.self = member{"i1", "labels", "dc1", "10.0.0.1:1", 8, 9, member_state::leaving};
    m.updates = {{"i2", "labels", "dc2", "10.0.0.2:1", 1, 2, member_state::suspect}};
    return m;
}

} // namespace

// Guards against fields that are lost on the wire.
TEST_CASE("group message round trip")
{
    const auto m = full_message();
    const auto read = decode_group_message(encode_group_message(m));
    REQUIRE(read);
    CHECK(encode_group_message(*read) == encode_group_message(m));
    CHECK(read->target == m.target);
    CHECK(read->entries[1].version == 4);
    CHECK(read->self->refutation == 9);
    CHECK(read->updates[0].state == member_state::suspect);
    CHECK(read->updates[0].service == "labels");
}

// Guards against messages that do not fit into a datagram.
TEST_CASE("group message leaves out what does not fit")
{
    auto m = full_message();
    m.updates.assign(200, m.updates[0]);
    m.entries.assign(100, {1, 1});
    const auto bytes = encode_group_message(m);
    CHECK(bytes.size() <= max_group_message);
    const auto read = decode_group_message(bytes);
    REQUIRE(read);
    CHECK(read->entries.size() == 100);
    CHECK_FALSE(read->updates.empty());
}

// Guards against a decoder that fails other than by returning nothing, on any bytes and on changed messages.
TEST_CASE("group message decoder takes any bytes")
{
    rc::prop("random bytes", [](const std::string& bytes) { decode_group_message(bytes); });
    rc::prop("changed message", [] {
        auto bytes = encode_group_message(full_message());
        const auto changes = *rc::gen::container<std::vector<std::pair<std::uint16_t, char>>>(
            rc::gen::pair(rc::gen::arbitrary<std::uint16_t>(), rc::gen::arbitrary<char>()));
        for (const auto& [at, value] : changes) {
            bytes[at % bytes.size()] = value;
        }
        bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
        const auto read = decode_group_message(bytes);
        RC_ASSERT(!read || read->service.size() <= max_member_text);
    });
    CHECK_FALSE(decode_group_message(std::string(max_group_message + 1, '\0')));
    const auto whole = encode_group_message(full_message());
    for (std::size_t size = 0; size < whole.size(); ++size) {
        CHECK_FALSE(decode_group_message(whole.substr(0, size)));
    }
}

// Guards against rows that other tools or versions wrote.
TEST_CASE("instance row decoder takes any text")
{
    const instance_row row{"10.0.0.1:1", "dc1", 1764826000000ULL * 1024, member_state::left, ~0ULL};
    const auto read = parse_instance_row(encode_instance_row(row));
    REQUIRE(read);
    CHECK(read->incarnation == row.incarnation);
    CHECK(read->process == row.process);
    CHECK(read->state == member_state::left);
    for (const auto* bad :
         {"", "{", "[]", "{}", R"({"address":1})", R"({"address":"10.0.0.1:1","incarnation":1})",
          R"({"address":"10.0.0.1:1","incarnation":-1,"state":"ready"})",
          R"({"address":"10.0.0.1:1","incarnation":1,"state":"unknown"})"}) {
        CHECK(parse_instance_row(bad).failure().code == errc::malformed);
    }
    rc::prop("random text",
             [](const std::string& text) { RC_ASSERT_FALSE(parse_instance_row(text).has_value()); });
    CHECK_FALSE(parse_instance_row(std::string(100000, '[')));
}
