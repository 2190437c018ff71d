#include "include/membership/membership_service.h"
#include "src/membership/instance_row.h"
#include "tests/membership/network.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace wagtailhatch;
using namespace wagtailhatch::test;

namespace {

/// Table in memory, with outages and answers that are lost.
class memory_table final : public table_service {
public:
    void read(const std::string& key, std::function<void(result<table_row>)> done) override
    {
        ++requests;
        if (down) {
            done(errc::unavailable);
            return;
        }
        const auto found = rows.find(key);
        if (found == rows.end()) {
            done(errc::not_found);
            return;
        }
        done(found->second);
    }

    void list(const std::string& prefix, std::function<void(result<std::vector<table_row>>)> done) override
    {
        ++requests;
        if (down) {
            done(errc::unavailable);
            return;
        }
        std::vector<table_row> found;
        for (const auto& [key, row] : rows) {
            if (key.starts_with(prefix)) {
                found.push_back(row);
            }
        }
        done(found);
    }

    void write(const std::string& key, const std::string& value, const write_condition& condition,
               std::function<void(result<std::string>)> done) override
    {
        ++requests;
        const auto found = rows.find(key);
        const bool holds = condition.type == write_condition::kind::must_not_exist
                               ? found == rows.end()
                               : found != rows.end() && found->second.etag == condition.etag;
        if (down || !holds) {
            done(down ? errc::unavailable : errc::conflict);
            return;
        }
        ++writes;
        const auto etag = std::to_string(writes);
        rows[key] = {key, value, etag};
        if (lose_answers > 0) {
            --lose_answers;
            done(errc::timeout);
            return;
        }
        done(etag);
    }

    instance_row row(const std::string& key) { return parse_instance_row(rows.at(key).value).value(); }

    std::map<std::string, table_row> rows;
    bool down = false;
    int lose_answers = 0;
    int writes = 0;
    int requests = 0;
};

class fake_datagrams final : public datagram_transport {
public:
    fake_datagrams(network& net, peer_address at)
        : net_{net}
        , at_{std::move(at)}
    {
    }
    void send(const peer_address& to, std::string payload) override
    {
        net_.send(at_, to, decode_group_message(payload).value());
    }
    void set_handler(std::function<void(const peer_address&, const std::string&)> h) override
    {
        net_.attach(at_, [h](const auto& from, const auto& m) {
            if (h) {
                h(from, encode_group_message(m));
            }
        });
    }
    peer_address local_address() const override { return at_; }
    void close() override { net_.detach(at_); }

private:
    network& net_;
    peer_address at_;
};

struct test_node {
    test_node(network& net, memory_table& table, std::size_t index, const std::string& service,
              std::vector<peer_address> seeds = {})
        : datagrams{net, address_of(index)}
        , members{{"i" + std::to_string(index), service, "dc1", address_of(index), std::move(seeds), {}},
                  net.time,
                  net.random,
                  datagrams,
                  table}
    {
        members.start();
        members.set_state(member_state::ready);
    }
    fake_datagrams datagrams;
    membership_service members;

    std::size_t ready(const std::string& service) const
    {
        const auto view = members.view();
        const auto& all = view->members(service);
        return static_cast<std::size_t>(std::count_if(
            all.begin(), all.end(), [](const member& m) { return m.state == member_state::ready; }));
    }
};

struct fleet {
    network net{1};
    memory_table table;
    std::vector<std::unique_ptr<test_node>> nodes;

    test_node& add(const std::string& service, std::vector<peer_address> seeds = {})
    {
        nodes.push_back(std::make_unique<test_node>(net, table, nodes.size(), service, std::move(seeds)));
        return *nodes.back();
    }
    void run(std::size_t seconds)
    {
        for (std::size_t i = 0; i < seconds * steps_per_period; ++i) {
            net.advance();
            for (const auto& n : nodes) {
                if (n) {
                    n->members.tick();
                }
            }
        }
    }
};

} // namespace

// Guards against nodes that do not find each other by their rows, and followers that miss changes.
TEST_CASE("membership service by the table")
{
    fleet f;
    for (int i = 0; i < 5; ++i) {
        f.add("labels");
    }
    auto& follower = f.add("portal");
    follower.members.follow("labels");
    follower.members.follow("labels");
    std::size_t views = 0;
    follower.members.on_change([&](const auto& view) {
        ++views;
        CHECK(view == follower.members.view());
    });
    f.run(5);
    for (const auto& n : f.nodes) {
        CHECK(n->ready("labels") == 5);
    }
    CHECK(views > 0);
    CHECK(f.table.writes == 6);
    CHECK(f.table.row("instance/labels/i0").incarnation == f.nodes[0]->members.self().incarnation);

    f.nodes[1]->members.set_state(member_state::leaving);
    f.run(4);
    CHECK(follower.ready("labels") == 4);
    bool written = false;
    f.nodes[1]->members.leave([&](bool w) { written = w; });
    CHECK(written);
    CHECK(f.table.row("instance/labels/i1").state == member_state::left);
    f.nodes[1].reset();
    f.nodes[2].reset();
    f.run(20);
    CHECK(follower.ready("labels") == 3);
    CHECK(f.nodes[0]->ready("labels") == 3);
    const auto requests = f.table.requests;
    f.run(60);
    CHECK(f.table.requests == requests); // Nothing but starts and leaves touches the table.
    follower.members.unfollow("labels");
    f.run(1);
    CHECK_FALSE(follower.members.view()->services.contains("labels"));
}

// Guards against a start that needs the table, and a row that stays unwritten after the outage.
TEST_CASE("membership service while the table is away")
{
    fleet f;
    f.table.down = true;
    f.add("documents");
    const std::vector<peer_address> seeds{address_of(0)};
    for (int i = 0; i < 3; ++i) {
        f.add("labels", seeds);
    }
    auto& follower = f.add("portal", seeds);
    follower.members.follow("labels");
    f.run(40);
    for (std::size_t i = 1; i < 5; ++i) {
        CHECK(f.nodes[i]->ready("labels") == 3);
    }
    CHECK(f.table.requests < 100); // Growing delays.
    f.table.down = false;
    f.run(100);
    CHECK(f.table.writes == 5);
    CHECK(f.table.row("instance/labels/i1").incarnation == f.nodes[1]->members.self().incarnation);
    CHECK(f.nodes[2]->ready("labels") == 3);
}

// Guards against a second write after an answer was lost, and a restart that is taken for the old process.
TEST_CASE("membership service registers each start once")
{
    fleet f;
    f.table.lose_answers = 1;
    f.add("labels");
    f.add("labels");
    f.run(10);
    CHECK(f.table.writes == 2);
    const auto first = f.table.row("instance/labels/i0").incarnation;
    CHECK(first == f.nodes[0]->members.self().incarnation);
    f.nodes[0].reset();
    f.net.time.advance(-std::chrono::hours{1}); // The new process's wall clock is behind.
    f.nodes[0] = std::make_unique<test_node>(f.net, f.table, 0, "labels");
    f.run(10);
    CHECK(f.table.row("instance/labels/i0").incarnation == first + 1);
    CHECK(f.nodes[1]->ready("labels") == 2);
}

// Guards against an older process that marks the row of the process that replaced it as left.
TEST_CASE("membership service leaves the row of a later process alone")
{
    fleet f;
    auto& old = f.add("labels");
    f.run(3);
    f.nodes.push_back(std::make_unique<test_node>(f.net, f.table, 0, "labels"));
    const auto later = f.table.row("instance/labels/i0");
    old.members.leave(nullptr);
    CHECK(f.table.row("instance/labels/i0").state == member_state::joining);
    CHECK(f.table.row("instance/labels/i0").process == later.process);
}

// Guards against a stop that hangs on a table that is away.
TEST_CASE("membership service leaves without the table")
{
    fleet f;
    auto& node = f.add("labels");
    f.run(3);
    f.table.down = true;
    int reports = 0;
    node.members.leave([&](bool written) {
        CHECK_FALSE(written);
        ++reports;
    });
    CHECK(reports == 1);
    f.table.down = false;
    f.run(5);
    CHECK(f.table.row("instance/labels/i0").state == member_state::left);
    CHECK(reports == 1);
}

// Guards against reports from a follower that do not reach the group, or end a member that lives.
TEST_CASE("membership service passes on reports of unreachable members")
{
    fleet f;
    for (int i = 0; i < 3; ++i) {
        f.add("labels");
    }
    auto& follower = f.add("portal");
    follower.members.follow("labels");
    f.run(5);
    follower.members.report_unreachable(address_of(0));
    CHECK(follower.ready("labels") == 2);
    f.run(5);
    CHECK(follower.ready("labels") == 3);
    f.nodes[0].reset();
    follower.members.report_unreachable(address_of(0));
    f.run(7);
    CHECK(follower.ready("labels") == 2);
    CHECK(f.nodes[1]->ready("labels") == 2);
}

// Guards against payloads from outside that disturb the service.
TEST_CASE("membership service takes any payload")
{
    network net{1};
    memory_table table;
    test_node node{net, table, 0, "labels"};
    network_sender sender{net, address_of(1)};
    rc::prop("any message", [&](const std::string& service, std::uint32_t sequence) {
        group_message m;
        m.type = *rc::gen::element(group_message::kind::ping, group_message::kind::ack,
                                   group_message::kind::ping_request, group_message::kind::digest,
                                   group_message::kind::answer);
        m.service = *rc::gen::element(std::string{"labels"}, "s" + service.substr(0, 20));
        m.sequence = sequence;
        m.target = address_of(2);
        m.bucket = *rc::gen::arbitrary<std::uint16_t>();
        m.buckets = *rc::gen::arbitrary<std::uint16_t>();
        m.detailed = *rc::gen::arbitrary<bool>();
        m.self = make_member(*rc::gen::inRange<std::size_t>(0, 5));
        m.self->address = address_of(1);
        m.updates = {make_member(*rc::gen::inRange<std::size_t>(0, 5))};
        sender.send(address_of(0), m);
        net.advance();
        node.members.tick();
        RC_ASSERT(node.members.joined());
        RC_ASSERT(node.members.self().id == "i0");
    });
}
