#include "src/node/event_thread.h"

#include "include/observe/logging.h"

#include <asio/post.hpp>

#include <exception>
#include <future>

namespace wagtailhatch {

event_thread::~event_thread()
{
    stop();
}

void event_thread::start()
{
    thread_ = std::thread{[this] { run(); }};
}

void event_thread::run()
{
    // run() returns once the loop is stopped; after an exception it can be called again.
    for (bool ended = false; !ended;) {
        try {
            io_.run();
            ended = true;
        }
        catch (const std::exception& e) {
            log(log_level::error, "handler failed", {{"error", e.what()}});
        }
        catch (...) {
            log(log_level::error, "handler failed", {{"error", "not a standard exception"}});
        }
    }
}

void event_thread::run_and_wait(const std::function<void()>& task)
{
    std::promise<void> done;
    asio::post(io_, [&] {
        task();
        done.set_value();
    });
    done.get_future().wait();
}

void event_thread::stop()
{
    io_.stop();
    if (thread_.joinable()) {
        thread_.join();
    }
}

void event_thread::run_ready()
{
    io_.restart();
    io_.poll();
}

} // namespace wagtailhatch
