#include "include/config/config_documents.h"
#include "src/node/entry_router.h"
#include "src/node/node_metrics.h"
#include "tests/http/loop_driver.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace wagtailhatch;
using namespace wagtailhatch::test;
using namespace std::chrono_literals;

namespace {

/// Header codec whose requests carry only an id and a time limit. Records the retry delay of each answer that
/// the node makes itself.
class plain_codec final : public header_codec {
public:
    request_metadata read_request(http_headers&) const override
    {
        return {"r", 2s, parent, key, !key.empty()};
    }
    void write_target_headers(const target_metadata&, http_headers&) const override {}
    response_metadata read_response(const http_response&) const override { return {}; }
    http_headers local_response_headers(const std::string&, duration retry_after) const override
    {
        retry_delays.push_back(retry_after);
        return {};
    }

    mutable std::vector<duration> retry_delays;
    std::string parent; ///< Parent id of the next requests.
    std::string key;    ///< API key of the next requests.
};

/// Fails each call with the failure that the test configured for its target.
class scripted_dispatcher final : public call_dispatcher {
public:
    explicit scripted_dispatcher(asio::io_context& io)
        : io_{io}
    {
    }

    std::shared_ptr<call_handle> dispatch(const member& to, const service_call& call,
                                          std::shared_ptr<reply_sink> sink) override
    {
        struct handle final : call_handle {
            void cancel() override {}
            void consumed(std::size_t) override {}
        };
        sent.push_back(to.id);
        regions = call.regions;
        if (holds) {
            return std::make_shared<handle>();
        }
        asio::post(io_,
                   [sink, failure = failures.at(to.id), load = load] { sink->on_failure(failure, load); });
        return std::make_shared<handle>();
    }
    const service_call* running(const std::string& id) const override
    {
        return parent.id == id ? &parent : nullptr;
    }
    bool request_rate(const peer_address&, const rate_request&) override { return false; }
    bool admits_deadline(steady_time deadline) const override { return deadline <= latest_deadline; }
    void on_downstream_call_end(const std::string&, bool) override {}

    std::map<std::string, call_failure> failures;
    std::vector<std::string> sent;
    service_call parent;     ///< The request that the own target is running.
    allowed_regions regions; ///< Of the last call.
    load_report load;
    bool holds = false; ///< Calls get no result.
    steady_time latest_deadline = steady_time::max();

private:
    asio::io_context& io_;
};

/// An entry router with one open route to a service whose targets the test adds.
struct entry_fixture {
    entry_fixture()
    {
        // Deadline timers use the real steady clock, so the manual clock must not lag behind it.
        time.set(std::chrono::steady_clock::now());
        settings.data_centre = "dc";
        auto config = std::make_shared<configuration>();
        route_config route;
        route.name = "lookup";
        route.path_prefix = "/";
        route.open = true;
        route.services = {{"s", 1}};
        config->version = 1;
        config->routes = {route};
        config->workspaces["cafe"] = {"cafe", 0, 0, {}, {{content_hash("secret"), false}}};
        router.set_configuration(config);
        original = *config;
    }

    void add_target(const std::string& id, member_state state, const call_failure& failure,
                    const std::string& data_centre = "dc")
    {
        members.push_back({id + ":1", id, "s", data_centre, 1, state});
        dispatcher.failures[id] = failure;
        router.set_members(members);
    }

    /// Configures the allowed regions of the route, which needs a key or not, and of the workspace.
    void allow(const allowed_regions& of_route, const allowed_regions& of_workspace, bool open = true)
    {
        auto config = std::make_shared<configuration>(original);
        config->routes[0].regions = of_route;
        config->routes[0].open = open;
        config->workspaces["cafe"].regions = of_workspace;
        router.set_configuration(config);
    }

    void request()
    {
        auto exchange = std::make_shared<caller_exchange>(std::weak_ptr<caller_session>{});
        exchange->request.method = "GET";
        exchange->request.target = "/x";
        router.handle(exchange);
        settle(io);
    }

    /// Returns the lines of wh_refusals_total with a count other than 0.
    std::string refusal_metric_lines()
    {
        const auto text = registry.text();
        std::string out;
        for (std::size_t at = text.find("\nwh_refusals_total"); at != std::string::npos;
             at = text.find("\nwh_refusals_total", at + 1)) {
            const auto line = text.substr(at + 1, text.find('\n', at + 1) - at - 1);
            out += line.back() != '0' ? line + '\n' : "";
        }
        return out;
    }

    asio::io_context io{1};
    manual_clock time;
    random_source random{1};
    plain_codec codec;
    node_settings settings;
    metrics registry;
    node_metrics stats{registry};
    scripted_dispatcher dispatcher{io};
    std::vector<member> members;
    configuration original;
    entry_router router{io, time, random, codec, settings, stats, dispatcher};
};

call_failure overloaded(duration retry_after)
{
    return {refusal_reason::overload, false, false, retry_after, {}};
}

} // namespace

// Some targets are overloaded while others are leaving. Guards against a refusal that reports why the last
// target could not be used, with a default retry delay, although the targets that were tried were overloaded.
TEST_CASE("a request refused by every target reports the targets' reason and their shortest retry delay")
{
    entry_fixture f;
    f.add_target("a", member_state::ready, overloaded(400ms));
    f.add_target("b", member_state::ready, overloaded(100ms));
    f.add_target("c", member_state::leaving, {});
    f.request();
    CHECK(f.dispatcher.sent.size() == 2);
    CHECK(f.refusal_metric_lines().find("reason=\"overload\"") != std::string::npos);
    CHECK(f.refusal_metric_lines().find("reason=\"leaving\"") == std::string::npos);
    REQUIRE(f.codec.retry_delays.size() == 1);
    // 100 ms with jitter of +/-25 %.
    CHECK(f.codec.retry_delays[0] >= 75ms);
    CHECK(f.codec.retry_delays[0] <= 125ms);
}

// Guards against a refusal that reports overload although no target was tried.
TEST_CASE("a request without a usable target reports why the targets are unusable")
{
    entry_fixture f;
    f.add_target("a", member_state::leaving, {});
    f.request();
    CHECK(f.dispatcher.sent.empty());
    CHECK(f.refusal_metric_lines().find("reason=\"leaving\"") != std::string::npos);
}

// Guards against a stopping node that takes a request late, passes it on, and exits before its target
// answers.
TEST_CASE("a request that may outlast a stopping node is refused as not run")
{
    entry_fixture f;
    f.add_target("a", member_state::ready, overloaded(100ms));
    f.dispatcher.latest_deadline = f.time.now() + 500ms;
    f.request();
    CHECK(f.dispatcher.sent.empty());
    CHECK(f.refusal_metric_lines().find("leaving") != std::string::npos);
    f.dispatcher.latest_deadline = f.time.now() + 1s;
    f.request();
    CHECK(f.dispatcher.sent.size() == 1);
}

// A target makes calls while its node stops. Guards against refusing them: the request that they belong to
// was taken on earlier and would fail for want of them.
TEST_CASE("calls of a running request are passed on while the node stops")
{
    entry_fixture f;
    f.add_target("a", member_state::ready, overloaded(100ms));
    f.dispatcher.latest_deadline = f.time.now() + 500ms;
    f.dispatcher.parent.id = "p";
    f.codec.parent = "p";
    f.request();
    CHECK(f.dispatcher.sent.size() == 1);
    f.codec.parent = "unknown";
    f.request();
    CHECK(f.dispatcher.sent.size() == 1);
}

// Guards against requests that are refused, sent from one evacuated target to the next or charged to the
// retry budget while this node has not heard of the evacuation yet: the nodes of the targets tell it.
TEST_CASE("a request refused by an evacuated data centre is tried at another one at once")
{
    entry_fixture f;
    const call_failure evacuated{refusal_reason::evacuated, false, false, 100ms, {}};
    for (const auto* id : {"a", "b", "c", "d", "e"}) {
        f.add_target(id, member_state::ready, evacuated);
    }
    f.add_target("far", member_state::ready, overloaded(100ms), "other");
    f.request();
    REQUIRE(f.dispatcher.sent.size() == 2);
    CHECK(f.dispatcher.sent[1] == "far");
    CHECK(f.registry.text().find("wh_repeats_total 0") != std::string::npos);
    CHECK(f.refusal_metric_lines().find("reason=\"overload\"") != std::string::npos);
}

// Guards against a late refusal, or one without its reason, when the operators have evacuated every data
// centre that has targets.
TEST_CASE("a request is refused without an attempt when all targets are evacuated")
{
    entry_fixture f;
    f.add_target("a", member_state::ready, overloaded(100ms));
    const std::vector<evacuated_data_centre> all{{"dc", 1, f.time.now(), f.time.now()}};
    f.router.set_evacuated(all);
    f.request();
    CHECK(f.dispatcher.sent.empty());
    CHECK(f.refusal_metric_lines().find("reason=\"evacuated\"") != std::string::npos);
    f.router.set_evacuated({});
    f.request();
    CHECK(f.dispatcher.sent.size() == 1);
}

namespace {

/// Targets in two regions and in a data centre without one; each refuses what it gets.
struct regions_fixture : entry_fixture {
    regions_fixture()
    {
        settings.regions = {{"dc", "us"}, {"east", "eu"}, {"west", "eu"}};
        add_target("own", member_state::ready, overloaded(100ms));
        add_target("e", member_state::ready, overloaded(100ms), "east");
        add_target("w", member_state::ready, overloaded(100ms), "west");
        add_target("u", member_state::ready, overloaded(100ms), "unlisted");
    }

    std::set<std::string> sent_to()
    {
        dispatcher.sent.clear();
        request();
        return {dispatcher.sent.begin(), dispatcher.sent.end()};
    }
};

} // namespace

// Guards against a body that is sent to a target outside of the request's regions by the first attempt or a
// later one, and against data centres of unknown region.
TEST_CASE("all attempts of a request stay within the regions of its route")
{
    regions_fixture f;
    CHECK(f.sent_to().count("own") == 1);
    CHECK_FALSE(f.dispatcher.regions);
    f.allow(allowed_regions{{"eu"}}, {});
    CHECK(f.sent_to() == std::set<std::string>{"e", "w"});
    CHECK(f.dispatcher.regions == allowed_regions{{"eu"}});
    f.allow(allowed_regions{{"us"}}, {});
    CHECK(f.sent_to() == std::set<std::string>{"own"});
    f.allow(allowed_regions{std::in_place}, {});
    CHECK(f.sent_to().empty());
    CHECK(f.refusal_metric_lines().find("outside-regions") != std::string::npos);
    f.allow(allowed_regions{{"mars"}}, {});
    CHECK(f.sent_to().empty());
}

// Guards against a workspace that leaves its regions on a route that allows more, and the reverse.
TEST_CASE("the regions of route and workspace apply together")
{
    regions_fixture f;
    f.codec.key = "secret";
    f.allow({}, allowed_regions{{"us"}}, false);
    CHECK(f.sent_to() == std::set<std::string>{"own"});
    f.allow(allowed_regions{{"eu", "us"}}, allowed_regions{{"eu"}}, false);
    CHECK(f.sent_to() == std::set<std::string>{"e", "w"});
    f.allow(allowed_regions{{"eu"}}, allowed_regions{{"us"}}, false);
    CHECK(f.sent_to().empty());
}

// Guards against a call of a target that leaves the regions of the request that it belongs to, also if the
// call has a key of its own.
TEST_CASE("calls of a target inherit the regions of the request that it runs")
{
    regions_fixture f;
    f.dispatcher.parent.id = "p";
    f.dispatcher.parent.route = "first";
    f.dispatcher.parent.regions = allowed_regions{{"eu"}};
    f.codec.parent = "p";
    CHECK(f.sent_to() == std::set<std::string>{"e", "w"});
    CHECK(f.dispatcher.regions == allowed_regions{{"eu"}});
    f.allow(allowed_regions{{"us"}}, {});
    CHECK(f.sent_to().empty());
    f.codec.key = "secret";
    f.allow({}, {}, false);
    CHECK(f.sent_to() == std::set<std::string>{"e", "w"});
    f.codec.parent = "gone";
    CHECK(f.sent_to().count("own") == 1);
}

// Guards against a request that fails because the settings of two nodes differ: the target's node refuses
// what its own settings do not allow, and another data centre is tried.
TEST_CASE("a request refused as outside of its regions is tried at another allowed data centre")
{
    regions_fixture f;
    f.allow(allowed_regions{{"eu"}}, {});
    f.dispatcher.failures["e"] = {refusal_reason::outside_regions, false, false, {}, {}};
    f.dispatcher.failures["w"] = {refusal_reason::outside_regions, false, false, {}, {}};
    CHECK(f.sent_to() == std::set<std::string>{"e", "w"});
    CHECK(f.refusal_metric_lines().find("outside-regions") != std::string::npos);
}

// All targets of a service reject requests at random. Guards against a call that fails because each of the
// few targets has rejected it once, and against callers that return at once.
TEST_CASE("a request that all targets reject is sent to them again if the service has variable capacity")
{
    const call_failure rejected{refusal_reason::overload, false, true, {}, {}};
    for (const double pace : {0.0, 1.0}) {
        entry_fixture f;
        f.dispatcher.load.pace = pace;
        f.add_target("a", member_state::ready, rejected);
        f.add_target("b", member_state::ready, rejected);
        std::size_t most = 0;
        for (int i = 0; i < 5; ++i) {
            const auto before = f.dispatcher.sent.size();
            f.request();
            most = std::max(most, f.dispatcher.sent.size() - before);
        }
        REQUIRE(f.codec.retry_delays.size() == 5);
        CHECK(f.router.rejecting_services().size() == (pace > 0 ? 1 : 0));
        if (pace > 0) {
            CHECK(most > 2);
            // A quarter of the time left, with jitter.
            CHECK(f.codec.retry_delays.back() >= 180ms);
        }
        else {
            CHECK(most == 2);
            CHECK(f.codec.retry_delays.back() <= 63ms);
        }
    }
}

// Guards against needless refusals that operators cannot see, and against counting those of a service that is
// full or whose load is unknown.
TEST_CASE("a refusal while another target has a free slot is counted and shown")
{
    entry_fixture f;
    f.add_target("a", member_state::ready, overloaded(100ms));
    f.add_target("b", member_state::ready, overloaded(100ms));
    const auto beside_room = [&] {
        const std::string name = "\nwh_refused_beside_room_total ";
        const auto text = f.registry.text();
        const auto at = text.find(name);
        return at == std::string::npos ? -1 : std::stoi(text.substr(at + name.size()));
    };
    const auto report = [&](std::uint32_t in_flight, double pace) {
        load_report load;
        load.in_flight = in_flight;
        load.limit = 10;
        load.pace = pace;
        load.service_time = 50ms;
        for (const auto& m : f.members) {
            f.router.on_load_report(m, load);
        }
    };
    f.request();
    CHECK(beside_room() == 0);
    report(0, 0);
    f.request();
    CHECK(beside_room() == 0);
    f.router.sweep();
    CHECK(f.router.estimated_loads().empty());
    f.time.advance(20ms);
    report(20, 1);
    f.request();
    CHECK(beside_room() == 0);
    f.time.advance(20ms);
    report(0, 1);
    f.request();
    CHECK(beside_room() > 0);
    f.router.sweep();
    CHECK(f.registry.text().find("wh_service_load_spread{of=\"s\"}") != std::string::npos);
    CHECK(f.router.estimated_loads().size() == 1);
}

namespace {

/// A deployment whose route needs a key and splits its requests between `kept` and one other service. The
/// rate of the workspace is allocated by another node.
struct split_fixture : entry_fixture {
    split_fixture()
    {
        for (const auto* service : {"kept", "old", "new"}) {
            const std::string id = service;
            members.push_back({id + ":1", id, id, "dc", 1, member_state::ready});
            dispatcher.failures[id] = overloaded(100ms);
        }
        router.set_members(members);
        const std::vector<peer_address> allocators{"other:1"};
        router.set_rate_allocators(allocators, 1);
        codec.key = "secret";
    }

    void configure(std::uint64_t version, const std::string& second)
    {
        auto config = std::make_shared<configuration>(original);
        config->version = version;
        config->routes[0].open = false;
        config->routes[0].services = {{"kept", 1}, {second, 1}};
        config->routes[0].timeout = timeout;
        config->workspaces["cafe"].rate = 10;
        config->workspaces["cafe"].burst = 10;
        router.set_configuration(config);
    }

    std::chrono::milliseconds timeout = 30s; ///< Of the route, in the next configuration.

    void grant(std::uint32_t tokens, std::uint32_t sequence)
    {
        router.on_rate_grant({"cafe", tokens, sequence, {}});
        settle(io);
    }
};

} // namespace

// A request waits for its rate while the configuration changes. Guards against later requests that are sent
// to a service which only the previous version names (CONFIG).
TEST_CASE("a request that waits for its rate leaves nothing of its configuration to later requests")
{
    split_fixture f;
    f.configure(2, "old");
    f.request();
    REQUIRE(f.dispatcher.sent.empty());
    f.configure(3, "new");
    f.grant(1, 1);
    REQUIRE(f.dispatcher.sent.size() == 1);
    f.dispatcher.sent.clear();
    for (std::uint32_t sequence = 2; sequence < 6; ++sequence) {
        f.request();
        f.grant(1, sequence);
    }
    const std::set<std::string> reached(f.dispatcher.sent.begin(), f.dispatcher.sent.end());
    CHECK(reached == std::set<std::string>{"kept", "new"});
}

// A target runs a request, and its answer does not come in time. Guards against returning the token of that
// request, which would admit a second one (QUOTA).
TEST_CASE("the token of a request that may have run admits no other one")
{
    split_fixture f;
    f.timeout = 60ms;
    f.configure(2, "old");
    f.dispatcher.holds = true;
    f.request();
    f.grant(1, 1);
    REQUIRE(f.dispatcher.sent.size() == 1);
    REQUIRE(run_until(f.io, [&] { return f.refusal_metric_lines().find("deadline") != std::string::npos; }));
    f.request();
    CHECK(f.dispatcher.sent.size() == 1);
    f.grant(1, 2);
    CHECK(f.dispatcher.sent.size() == 2);
}
