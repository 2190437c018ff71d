#include "src/core/socket_address.h"
#include "src/core/wire.h"
#include "src/node/traffic_plane.h"
#include "tests/http/loop_driver.h"

#include <asio/write.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace wagtailhatch;
using namespace wagtailhatch::test;
using namespace std::chrono_literals;

namespace {

/// Header codec without metadata: the requests of these tests never reach a target.
class empty_codec final : public header_codec {
public:
    request_metadata read_request(http_headers&) const override { return {}; }
    void write_target_headers(const target_metadata&, http_headers&) const override {}
    response_metadata read_response(const http_response&) const override { return {}; }
    http_headers local_response_headers(const std::string&, duration) const override { return {}; }
};

/// The data plane of a node in data centre "dc" of region "eu", and a peer whose frames the test writes and
/// reads.
struct plane_fixture {
    plane_fixture()
    {
        time.set(std::chrono::steady_clock::now());
        settings.service = "s";
        settings.data_centre = "dc";
        settings.target = "127.0.0.1:1";
        settings.regions = {{"dc", "eu"}};
        settings.peers =
            "127.0.0.1:" +
            std::to_string(
                asio::ip::tcp::acceptor{io, {asio::ip::address_v4::loopback(), 0}}.local_endpoint().port());
        plane = std::make_unique<traffic_plane>(io, time, settings, codec, stats, 1, events());
        REQUIRE(plane->start());
    }
    ~plane_fixture()
    {
        plane->close();
        settle(io);
    }
    plane_fixture(const plane_fixture&) = delete;
    plane_fixture& operator=(const plane_fixture&) = delete;

    static traffic_events events()
    {
        return {[](std::uint64_t, const std::string&) {}, [] {}, [](const std::string&) {}, [] {},
                [](bool) {}};
    }

    void connect(const std::optional<evacuation_set>& evacuation)
    {
        peer.connect(*parse_address(settings.peers));
        peer.non_blocking(true);
        hello_message hello;
        hello.status = peer_status(evacuation);
        write(frame_type::hello, 0, encode(hello));
        REQUIRE(run_until(io, [&] { return plane->peers() == 1; }));
    }

    static node_status peer_status(const std::optional<evacuation_set>& evacuation)
    {
        node_status status;
        status.self.address = "127.0.0.1:1";
        status.evacuation = evacuation;
        return status;
    }

    void write(frame_type type, std::uint64_t stream, std::string_view payload)
    {
        wire_writer w;
        w.u32(static_cast<std::uint32_t>(payload.size())).u8(static_cast<std::uint8_t>(type)).u64(stream);
        w.tail(payload);
        asio::write(peer, asio::buffer(w.take()));
    }

    /// Returns the payload of the next frame of a type that was not read yet.
    std::string next(frame_type type)
    {
        std::string payload;
        REQUIRE(run_until(io, [&] {
            std::array<char, 4096> chunk{};
            std::error_code ec;
            const auto size = peer.read_some(asio::buffer(chunk), ec);
            received.append(chunk.data(), ec ? 0 : size);
            return take_frame(type, payload);
        }));
        return payload;
    }

    bool take_frame(frame_type wanted, std::string& payload)
    {
        constexpr std::size_t header = 4 + 1 + 8;
        while (received.size() >= header) {
            wire_reader r{received};
            const auto size = r.u32();
            const auto type = static_cast<frame_type>(r.u8());
            if (received.size() < header + size) {
                return false;
            }
            payload = received.substr(header, size);
            received.erase(0, header + size);
            if (type == wanted) {
                return true;
            }
        }
        return false;
    }

    call_failure result_of_call(const allowed_regions& regions, duration time_left = 10s)
    {
        service_call call;
        call.id = "r";
        call.service = "s";
        call.deadline = time.now() + time_left;
        call.soft_deadline = call.deadline;
        call.regions = regions;
        write(frame_type::call, 1, encode(call, time.now()));
        const auto failure = decode_failure(next(frame_type::failure));
        REQUIRE(failure);
        return failure->failure;
    }

    nlohmann::json evacuated() const { return nlohmann::json::parse(plane->status_json())["evacuated"]; }

    asio::io_context io{1};
    /// Stands still, so that no periodic status is published.
    manual_clock time;
    empty_codec codec;
    node_settings settings;
    metrics registry;
    node_metrics stats{registry};
    std::unique_ptr<traffic_plane> plane;
    asio::ip::tcp::socket peer{io};
    std::string received;
};

} // namespace

// Guards against a target of an evacuated data centre that runs what a sender without the news has sent, and
// against a node that serves before it applies an evacuation that it learned at its start.
TEST_CASE("the node of an evacuated target refuses the calls of any peer as not run")
{
    plane_fixture f;
    f.plane->set_target({"i-1", target_phase::ready, 4, {}});
    f.plane->set_evacuation({3, {{"dc", 2}}});
    f.connect({});
    const auto failure = f.result_of_call({});
    CHECK(failure.reason == refusal_reason::evacuated);
    CHECK_FALSE(failure.may_have_run);
    CHECK_FALSE(failure.reached_target);
    f.plane->set_evacuation({4, {}});
    CHECK(f.result_of_call({}).reason != refusal_reason::evacuated);
}

// Guards against a load that moves in one step at nodes that serve.
TEST_CASE("a serving node shifts the load gradually")
{
    plane_fixture f;
    auto config = std::make_shared<configuration>();
    config->version = 1;
    f.plane->set_configuration({config, std::make_shared<const std::string>()});
    f.plane->set_evacuation({3, {{"dc", 2}}});
    REQUIRE(f.evacuated().size() == 1);
    CHECK(f.evacuated()[0]["share"] < 1);
    CHECK(f.evacuated()[0]["row_version"] == 2);
}

// Guards against changes that reach nodes without the store only with the next periodic status, against a
// peer with an old state that is never told the new one, and against going back to its state.
TEST_CASE("changes of the evacuated data centres are published at once and spread from peers")
{
    plane_fixture f;
    f.connect({});
    CHECK_FALSE(decode_hello(f.next(frame_type::hello))->status.evacuation);
    f.plane->set_evacuation({5, {}});
    f.write(frame_type::status, 0, encode(f.peer_status(evacuation_set{4, {{"dc", 4}}})));
    const auto answer = decode_status(f.next(frame_type::status));
    REQUIRE(answer);
    CHECK(answer->evacuation == evacuation_set{5, {}});
    CHECK(f.evacuated().empty());
    f.write(frame_type::status, 0, encode(f.peer_status(evacuation_set{7, {{"far", 6}}})));
    REQUIRE(run_until(f.io, [&] { return f.evacuated().size() == 1; }));
    const auto told = decode_status(f.next(frame_type::status));
    REQUIRE(told);
    CHECK(told->evacuation == evacuation_set{7, {{"far", 6}}});
    f.plane->set_evacuation({6, {}});
    CHECK(f.evacuated().size() == 1);
}

// Guards against a body that runs outside of its regions because the sender's settings are wrong.
TEST_CASE("a node refuses calls that must not run in its region")
{
    plane_fixture f;
    f.plane->set_target({"i-1", target_phase::ready, 4, {}});
    f.connect({});
    const auto failure = f.result_of_call(allowed_regions{{"us"}});
    CHECK(failure.reason == refusal_reason::outside_regions);
    CHECK_FALSE(failure.may_have_run);
    CHECK(f.result_of_call(allowed_regions{{"eu"}}).reason != refusal_reason::outside_regions);
}

// Guards against a stopping node that passes on the calls of other nodes and breaks them off when it exits
// (LOST): each call counts with its own deadline, whenever it was sent.
TEST_CASE("a stopping node takes only those calls of its peers that end before it")
{
    plane_fixture f;
    f.connect({});
    f.plane->drain([] {});
    const auto begun = f.time.now();
    const auto leaving_at = [&](duration since, duration time_left) {
        f.time.set(begun + since);
        return f.result_of_call({}, time_left).reason == refusal_reason::leaving;
    };
    CHECK_FALSE(leaving_at(2500ms, 10s));
    CHECK_FALSE(leaving_at(2600ms, 2400ms));
    CHECK(leaving_at(2600ms, 2500ms));
    CHECK_FALSE(leaving_at(4s, 1s));
    CHECK(leaving_at(4s, 1100ms));
}
