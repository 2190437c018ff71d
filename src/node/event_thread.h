#pragma once

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

#include <functional>
#include <string>
#include <thread>

namespace wagtailhatch {

/// A thread that runs an event loop until stopped. A handler that throws ends only itself: the exception is
/// logged, and the loop goes on.
class event_thread {
public:
    event_thread()
        : guard_{asio::make_work_guard(io_)}
    {
    }
    ~event_thread();
    event_thread(const event_thread&) = delete;
    event_thread& operator=(const event_thread&) = delete;

    asio::io_context& io() { return io_; }
    void start();

    /// Runs task on the loop and blocks until it returns. Deadlocks if called from the loop's thread.
    void run_and_wait(const std::function<void()>& task);

    /// Stops the loop and joins the thread.
    void stop();

    /// Runs the pending handlers of a stopped loop on the calling thread.
    void run_ready();

private:
    void run();

    // A single thread runs the loop. A concurrency hint of 1 lets Asio omit the locks on the loop's own
    // queue.
    asio::io_context io_{1};
    asio::executor_work_guard<asio::io_context::executor_type> guard_;
    std::thread thread_;
};

} // namespace wagtailhatch
