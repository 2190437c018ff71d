#include "src/node/event_thread.h"

#include <asio/post.hpp>
#include <catch2/catch.hpp>

#include <stdexcept>

using namespace wagtailhatch;

// Guards against one unexpected error that ends the whole process, and with it every request in progress.
TEST_CASE("an exception in one handler does not stop the event loop")
{
    event_thread thread;
    thread.start();
    for (int i = 0; i < 3; ++i) {
        asio::post(thread.io(), [] { throw std::runtime_error{"unexpected"}; });
    }
    asio::post(thread.io(), [] { throw 1; });
    bool ran = false;
    thread.run_and_wait([&] { ran = true; });
    CHECK(ran);
    thread.stop();
}
