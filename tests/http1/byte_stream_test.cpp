#include "src/http1/byte_stream.h"
#include "src/http1/socket_options.h"
#include "tests/http/loop_driver.h"

#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include <optional>
#include <utility>

using namespace wagtailhatch;
using namespace wagtailhatch::test;
using namespace std::chrono_literals;

namespace {

// More than the buffers of a loopback connection hold.
constexpr std::size_t long_message = 16'000'000;

class recording_stream final : public byte_stream {
public:
    explicit recording_stream(asio::ip::tcp::socket socket)
        : byte_stream{std::move(socket)}
    {
    }
    void start()
    {
        configure_socket(socket(), 1000ms);
        start_reading();
    }
    using byte_stream::check_peer_while_paused;

    bool requires_sending = false;
    std::string received;
    std::optional<std::error_code> end; ///< Reason of the end, once it is reported.

private:
    void on_bytes(std::string_view bytes) override { received += bytes; }
    void on_sent(std::size_t) override {}
    bool end_requires_sending() const override { return requires_sending; }
    void on_closed(const std::error_code& reason) override { end = reason; }
};

/// A stream and the socket of its peer.
struct stream_fixture {
    stream_fixture()
    {
        asio::ip::tcp::acceptor acceptor{io, {asio::ip::address_v4::loopback(), 0}};
        asio::ip::tcp::socket socket{io};
        socket.connect(acceptor.local_endpoint());
        peer = acceptor.accept();
        stream = std::make_shared<recording_stream>(std::move(socket));
        stream->start();
    }
    void peer_sends(const std::string& bytes) { asio::write(peer, asio::buffer(bytes)); }
    void reset_by_peer()
    {
        peer.set_option(asio::socket_base::linger{true, 0});
        peer.close();
    }
    bool wait_for_end()
    {
        return run_until(io, [&] { return stream->end.has_value(); });
    }

    asio::io_context io{1};
    asio::ip::tcp::socket peer{io};
    std::shared_ptr<recording_stream> stream;
};

} // namespace

// Guards against a broken connection that looks like one that the peer has ended: which of reading and
// writing meets the failure first must not matter, as the socket reports it only once.
TEST_CASE("a reset is a failure whichever operation meets it first")
{
    const bool writing = GENERATE(false, true);
    const bool bytes_in_front = GENERATE(false, true);
    const bool write_first = GENERATE(false, true);
    INFO("writing " << writing << ", bytes in front " << bytes_in_front << ", write first " << write_first);
    stream_fixture f;
    if (writing) {
        f.stream->send(std::string(long_message, 'x'));
    }
    if (bytes_in_front) {
        f.peer_sends("part");
    }
    f.reset_by_peer();
    if (write_first) {
        f.stream->send("x"); // Meets the reset unless earlier bytes wait to be written.
    }
    REQUIRE(f.wait_for_end());
    CHECK(*f.stream->end);
}

// Guards against calling a proper end a failure: all that the peer sent in front of it has been read.
TEST_CASE("the end of the peer's side is no failure")
{
    stream_fixture f;
    f.peer_sends("whole");
    f.peer.shutdown(asio::ip::tcp::socket::shutdown_send);
    REQUIRE(f.wait_for_end());
    CHECK_FALSE(*f.stream->end);
    CHECK(f.stream->received == "whole");
}

// Guards against an end that is noticed in front of unread bytes and looks like the end of them.
TEST_CASE("an end that is noticed while reading is paused is a failure")
{
    const bool reset = GENERATE(false, true);
    stream_fixture f;
    f.stream->pause_reading();
    f.peer_sends("unread");
    reset ? f.reset_by_peer() : f.peer.close();
    f.stream->check_peer_while_paused();
    REQUIRE(f.wait_for_end());
    CHECK(*f.stream->end);
}

// Guards against a peer that ends its side, with most of what it was sent unread, and resets the connection a
// moment later: which of the two is seen first must not decide whether it ended properly.
TEST_CASE("an end that requires sending is kept back until everything is written")
{
    const bool reset = GENERATE(false, true);
    stream_fixture f;
    f.stream->requires_sending = true;
    f.stream->send(std::string(long_message, 'x'));
    f.peer_sends("whole");
    f.peer.shutdown(asio::ip::tcp::socket::shutdown_send);
    settle(f.io);
    CHECK(f.stream->received == "whole");
    CHECK_FALSE(f.stream->end);
    if (reset) {
        f.reset_by_peer();
    }
    std::vector<char> buffer(std::size_t{1} << 20);
    std::error_code ec;
    std::size_t taken = 0;
    f.peer.non_blocking(!reset, ec);
    REQUIRE(run_until(f.io, [&] {
        taken += reset ? 0 : f.peer.read_some(asio::buffer(buffer), ec);
        return f.stream->end.has_value();
    }));
    CHECK(static_cast<bool>(f.stream->end.value()) == reset);
    CHECK((reset || f.stream->unsent() == 0));
}
