#include "src/core/wire.h"
#include "src/peer/peer_mesh.h"
#include "tests/http/loop_driver.h"

#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include <sys/resource.h>

using namespace wagtailhatch;
using namespace wagtailhatch::test;
using namespace std::chrono_literals;

namespace {

/// Records the calls and status messages of peers.
class call_recorder final : public peer_mesh_events {
public:
    void on_peer_status(const node_status& status) override
    {
        ++statuses[status.self.address];
        evacuation = status.evacuation.value_or(evacuation);
    }
    void on_peer_lost(const peer_address&) override {}
    std::shared_ptr<call_handle> on_peer_call(service_call call, std::shared_ptr<reply_sink>) override
    {
        struct handle final : call_handle {
            explicit handle(std::size_t& cancelled)
                : cancelled_{cancelled}
            {
            }
            void cancel() override { ++cancelled_; }
            void consumed(std::size_t) override {}

        private:
            std::size_t& cancelled_;
        };
        calls.push_back(call.id);
        body_memory.push_back(call.body_memory);
        return std::make_shared<handle>(cancelled);
    }
    void on_peer_config(config_message) override {}
    config_message newest_config() const override { return {}; }
    void on_peer_crash(const crash_report&) override {}
    void on_peer_store_contact(const peer_address& address) override { ++store_contacts[address]; }
    node_status own_status() override { return {}; }
    void on_peer_store_era(std::uint64_t era) override { eras.push_back(era); }
    store_eras own_store_eras() const override { return own_eras; }
    rate_grant on_peer_rate_request(const rate_request& request) override
    {
        return {request.workspace, request.tokens, request.sequence, {}};
    }
    void on_peer_rate_grant(const rate_grant&) override {}
    void on_peers_discovered(const std::vector<peer_address>&) override {}

    std::vector<std::uint64_t> eras; ///< Of the store, as peers told them.
    store_eras own_eras;
    evacuation_set evacuation; ///< Of the last status that held one.
    std::map<peer_address, int> statuses;
    std::map<peer_address, int> store_contacts;
    std::vector<std::string> calls;
    std::vector<std::shared_ptr<const memory_reservation>> body_memory; ///< Of the calls.
    std::size_t cancelled = 0;
};

std::string frame(frame_type type, std::uint64_t stream, std::string_view payload)
{
    wire_writer w;
    w.u32(static_cast<std::uint32_t>(payload.size())).u8(static_cast<std::uint8_t>(type)).u64(stream);
    w.tail(payload);
    return w.take();
}

struct received_frame {
    frame_type type{};
    std::uint64_t stream = 0;
    std::string payload;
};

/// One node of a mesh and a peer whose bytes are written by the test.
struct mesh_fixture {
    mesh_fixture()
        : listen{asio::ip::address_v4::loopback(), free_port(io)}
    {
        REQUIRE(mesh.start());
        peer.connect(listen);
        hello_message hello;
        hello.status.self.address = "127.0.0.1:1";
        write(frame(frame_type::hello, 0, encode(hello)));
        REQUIRE(run_until(io, [&] { return mesh.linked("127.0.0.1:1"); }));
    }

    static std::uint16_t free_port(asio::io_context& io)
    {
        return asio::ip::tcp::acceptor{io, {asio::ip::address_v4::loopback(), 0}}.local_endpoint().port();
    }

    void write(const std::string& bytes) { asio::write(peer, asio::buffer(bytes)); }

    /// Writes more than the socket buffers hold; the mesh reads meanwhile.
    void write_large(const std::string& bytes)
    {
        std::size_t written = 0;
        peer.non_blocking(true);
        while (written < bytes.size()) {
            std::error_code ec;
            written += peer.write_some(asio::buffer(bytes) + written, ec);
            io.poll();
            io.restart();
        }
    }

    /// Frames that the mesh has sent to the peer and that were not read before.
    std::vector<received_frame> read_frames()
    {
        settle(io);
        std::array<char, 4096> buffer{};
        std::error_code ec;
        peer.non_blocking(true);
        while (!ec) {
            unread.append(buffer.data(), peer.read_some(asio::buffer(buffer), ec));
        }
        constexpr std::size_t header_size = 13;
        std::vector<received_frame> frames;
        while (unread.size() >= header_size) {
            wire_reader header{unread};
            const std::size_t size = header.u32();
            const auto type = static_cast<frame_type>(header.u8());
            const auto stream = header.u64();
            frames.push_back({type, stream, unread.substr(header_size, size)});
            unread.erase(0, header_size + size);
        }
        return frames;
    }

    std::string call_frame(std::uint64_t stream, const std::string& id, std::size_t body_size = 0)
    {
        service_call call;
        call.id = id;
        call.request.body.assign(body_size, 'x');
        call.service = "s";
        call.deadline = time.now() + 10s;
        call.soft_deadline = call.deadline;
        return frame(frame_type::call, stream, encode(call, time.now()));
    }

    asio::io_context io{1};
    system_clock_source time;
    random_source random{1};
    call_recorder events;
    asio::ip::tcp::endpoint listen;
    body_budgets memory{std::size_t{1} << 20};
    peer_mesh mesh{io, time, random, listen, memory, events};
    asio::ip::tcp::socket peer{io};
    std::string unread;
};

/// Simulates file descriptor exhaustion: no new descriptors can be opened, open ones stay usable.
class descriptor_exhaustion {
public:
    descriptor_exhaustion()
    {
        getrlimit(RLIMIT_NOFILE, &before_);
        auto none = before_;
        none.rlim_cur = 0;
        setrlimit(RLIMIT_NOFILE, &none);
    }
    ~descriptor_exhaustion() { setrlimit(RLIMIT_NOFILE, &before_); }
    descriptor_exhaustion(const descriptor_exhaustion&) = delete;
    descriptor_exhaustion& operator=(const descriptor_exhaustion&) = delete;

private:
    rlimit before_{};
};

} // namespace

// Guards against work for a disconnected caller: a node that reads a link late receives a call together with
// the cancel frame that follows it.
TEST_CASE("a call received together with its cancellation is not started")
{
    mesh_fixture f;
    f.write(f.call_frame(1, "gone") + f.call_frame(3, "wanted") + frame(frame_type::cancel, 1, {}));
    REQUIRE(run_until(f.io, [&] { return !f.events.calls.empty(); }));
    settle(f.io);
    CHECK(f.events.calls == std::vector<std::string>{"wanted"});
    CHECK(f.events.cancelled == 0);
}

// Guards against starting calls that were received together with the end of their link: their answers could
// not be delivered.
TEST_CASE("a call received together with the end of its link is not started")
{
    mesh_fixture f;
    f.write(f.call_frame(1, "gone"));
    f.peer.close();
    REQUIRE(run_until(f.io, [&] { return !f.mesh.linked("127.0.0.1:1"); }));
    CHECK(f.events.calls.empty());
}

// Guards against a reader of the store whose confirmations are dropped: its peers would replace it.
TEST_CASE("a peer's contact with the store is reported with its address")
{
    mesh_fixture f;
    f.write(frame(frame_type::store_contact, 0, {}));
    REQUIRE(run_until(f.io, [&] { return !f.events.store_contacts.empty(); }));
    CHECK(f.events.store_contacts == std::map<peer_address, int>{{"127.0.0.1:1", 1}});
}

// Guards against an event loop that retries accept() in a busy loop, and logs each failure, while the process
// is out of file descriptors.
TEST_CASE("accepting a peer is retried after a delay")
{
    mesh_fixture f;
    asio::ip::tcp::socket other{f.io};
    other.connect(f.listen);
    std::size_t handlers = 0;
    {
        const descriptor_exhaustion none;
        f.io.restart();
        handlers = f.io.run_for(200ms);
    }
    CHECK(handlers < 50);
    hello_message hello;
    hello.status.self.address = "127.0.0.1:2";
    asio::write(other, asio::buffer(frame(frame_type::hello, 0, encode(hello))));
    CHECK(run_until(f.io, [&] { return f.mesh.linked("127.0.0.1:2"); }));
}

// A link is so slow that calls wait in this node when it ends. Guards against telling callers that the
// outcome of a call is unknown which never left this node: they may not repeat an order after that.
TEST_CASE("calls that a lost link has not sent yet are reported as not run")
{
    struct failure_recorder final : reply_sink {
        void on_reply(http_response, const load_report&) override {}
        void on_reply_head(http_response, std::optional<std::uint64_t>, const load_report&) override {}
        void on_reply_data(std::string) override {}
        void on_reply_end() override {}
        void on_failure(const call_failure& f, const load_report&) override { failure = f; }
        std::optional<call_failure> failure;
    };
    mesh_fixture f;
    std::vector<std::shared_ptr<failure_recorder>> sinks;
    service_call call;
    call.deadline = f.time.now() + 10s;
    call.soft_deadline = call.deadline;
    call.request.body.assign(std::size_t{1} << 20, 'x');
    constexpr int calls = 24; // More than the socket buffers of both sides hold.
    for (int i = 0; i < calls; ++i) {
        sinks.push_back(std::make_shared<failure_recorder>());
        f.mesh.call("127.0.0.1:1", call, sinks.back());
    }
    f.peer.close();
    REQUIRE(run_until(f.io, [&] { return sinks.back()->failure.has_value(); }));
    CHECK(sinks.front()->failure->may_have_run);
    CHECK_FALSE(sinks.back()->failure->may_have_run);
    CHECK_FALSE(sinks.back()->failure->reached_target);
}

// Several entry nodes send large requests to one target at the same time. Guards against a process that
// exceeds its memory, and against a link on which later frames are misread or refused after a skipped call.
TEST_CASE("a large call without memory for it is refused as not run, and its link goes on")
{
    constexpr std::size_t large = std::size_t{600} << 10; // Two do not fit together.
    mesh_fixture f;
    f.write_large(f.call_frame(1, "first", large));
    REQUIRE(run_until(f.io, [&] { return f.events.calls.size() == 1; }));
    CHECK(f.memory.large.used() > large);
    // In pieces: the skipped call ends in the middle of a read.
    const auto rest = f.call_frame(3, "second", large) + f.call_frame(5, "small");
    const auto half = large / 2;
    f.write_large(rest.substr(0, half));
    settle(f.io);
    f.write_large(rest.substr(half));
    REQUIRE(run_until(f.io, [&] { return f.events.calls.size() == 2; }));
    CHECK(f.events.calls.back() == "small");
    const auto frames = f.read_frames();
    const auto refused = std::find_if(frames.begin(), frames.end(),
                                      [](const auto& frame) { return frame.type == frame_type::failure; });
    REQUIRE(refused != frames.end());
    CHECK(refused->stream == 3);
    const auto failure = decode_failure(refused->payload);
    REQUIRE(failure);
    CHECK_FALSE(failure->failure.may_have_run);
    CHECK_FALSE(failure->failure.reached_target);
    f.events.body_memory.clear();
    CHECK(f.memory.large.used() == 0);
    f.write_large(f.call_frame(7, "third", large));
    CHECK(run_until(f.io, [&] { return f.events.calls.size() == 3; }));
}

// Guards against nodes that don't follow the store and never learn that it has returned from an older copy,
// and against a status that refers to an era which the peer doesn't know yet.
TEST_CASE("a new era of the store is told to the peers before the status that follows")
{
    mesh_fixture f;
    f.read_frames();
    f.events.own_eras = {2, 1};
    f.mesh.publish_status();
    f.mesh.publish_status();
    std::vector<frame_type> sent;
    for (const auto& frame : f.read_frames()) {
        sent.push_back(frame.type);
    }
    CHECK(sent == std::vector<frame_type>{frame_type::store_eras, frame_type::status, frame_type::status});
    f.write(frame(frame_type::store_eras, 0, encode(store_eras{3, 2})));
    f.write(frame(frame_type::store_eras, 0, "short"));
    REQUIRE(run_until(f.io, [&] { return !f.events.eras.empty(); }));
    settle(f.io);
    CHECK(f.events.eras == std::vector<std::uint64_t>{3});
    node_status status;
    status.self.address = "127.0.0.1:1";
    status.evacuation = evacuation_set{7, {{"north", 7}}};
    f.write(frame(frame_type::status, 0, encode(status)));
    REQUIRE(run_until(f.io, [&] { return f.events.evacuation.version == 7; }));
    CHECK(f.events.evacuation.era == 2);
}
