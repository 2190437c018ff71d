#include "src/http1/target_pool.h"
#include "tests/http/early_server.h"
#include "tests/http/loop_driver.h"
#include "tests/http1/response_recorder.h"

#include <catch2/catch.hpp>

using namespace wagtailhatch;
using namespace wagtailhatch::test;
using namespace std::chrono_literals;

namespace {

const std::string success_head = "HTTP/1.1 200 OK\r\nId: 1\r\n";
// More than the buffers of a loopback connection hold.
constexpr std::size_t upload_size = 16'000'000;

/// Uploads to a target that answers as told, and waits for the outcome.
std::shared_ptr<response_recorder> upload_to(const early_answer& answer, std::size_t size = upload_size)
{
    asio::io_context io{1};
    const manual_clock time;
    early_server target{
        io, {asio::ip::address_v4::loopback(), 0}, [&](const std::string&) { return answer; }};
    target_pool pool{io, time, target.address()};
    auto seen = std::make_shared<response_recorder>();
    target_request upload;
    upload.bytes = "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n";
    upload.body = std::string(size, 'x');
    pool.start(std::move(upload), seen);
    REQUIRE(run_until(io, [&] { return seen->over(); }));
    return seen;
}

const std::vector<std::chrono::milliseconds> delays{0ms, 2ms, 30ms};

} // namespace

// A target answers a long upload at once without a length, sends a part of the body and resets the connection
// while the upload is still being written. Guards against taking that part for the whole response (MIXED):
// the failed write took the error from the socket, and the read after it found the end of the stream.
TEST_CASE("a response without a length that is reset during the upload is truncated")
{
    for (const std::size_t part : {0U, 3000U, 150'000U}) {
        for (const auto end : {answer_end::reset, answer_end::close}) {
            for (const auto delay : delays) {
                for (const std::size_t read_size : {0U, 65'536U}) {
                    INFO(part << " bytes, end " << static_cast<int>(end) << " after " << delay.count()
                              << " ms, " << read_size << " bytes read");
                    const auto seen =
                        upload_to({success_head + "\r\n" + std::string(part, 'b'), end, delay, read_size});
                    CHECK_FALSE(seen->ended);
                    CHECK((seen->failure == target_failure::truncated ||
                           seen->failure == target_failure::no_response));
                }
            }
        }
    }
}

// A target ends its side after a part of the body, with the upload unread, and resets the connection a moment
// later. Guards against taking the part for the whole response where the end is seen in front of the reset.
TEST_CASE("a response without a length that ends during the upload is truncated by a later reset")
{
    for (const std::size_t part : {0U, 3000U}) {
        for (const auto delay : delays) {
            INFO(part << " bytes, ended and reset after " << delay.count() << " ms each");
            const auto seen = upload_to(
                {success_head + "\r\n" + std::string(part, 'b'), answer_end::end_then_reset, delay});
            CHECK_FALSE(seen->ended);
            CHECK(seen->failure == target_failure::truncated);
        }
    }
}

// Guards against failing sound responses: a target that ends one early and then reads the rest of the upload
// has not broken the connection.
TEST_CASE("a response without a length that ends early is complete once the upload is read")
{
    for (const auto delay : delays) {
        for (const std::size_t read_size : {std::size_t{0}, upload_size}) {
            INFO("ended after " << delay.count() << " ms, " << read_size << " bytes read");
            const auto seen = upload_to({success_head + "\r\nwhole", answer_end::end, delay, read_size});
            CHECK(seen->ended);
            CHECK(seen->body == "whole");
        }
    }
}

// Guards against responses that wait for the end of an upload although they are framed by themselves.
TEST_CASE("a response with a length is complete during the upload")
{
    for (const auto end : {answer_end::end_then_reset, answer_end::end}) {
        const auto seen = upload_to({success_head + "Content-Length: 5\r\n\r\nwhole", end, 30ms});
        CHECK(seen->ended);
        CHECK(seen->body == "whole");
    }
}
