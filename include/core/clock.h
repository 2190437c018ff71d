#pragma once

#include <chrono>
#include <ctime>

namespace wagtailhatch {

using steady_time = std::chrono::steady_clock::time_point;
using wall_time = std::chrono::system_clock::time_point;
using duration = std::chrono::steady_clock::duration;

inline double to_seconds(duration d)
{
    return std::chrono::duration<double>(d).count();
}

/// Clock interface for all time-dependent logic; injected, so that tests can control time.
/// Implementations are thread-safe unless stated otherwise.
class clock {
public:
    virtual ~clock() = default;

    /// Monotonic time; values of different processes are not comparable.
    virtual steady_time now() const = 0;

    /// Monotonic time that also counts while the machine is suspended, for rights that lapse. Not comparable
    /// to now(), which timers use.
    virtual steady_time now_with_suspend() const = 0;

    /// Wall clock time; may jump, so only for logs, traces and reports, never for program logic.
    virtual wall_time wall_now() const = 0;
};

/// Clock backed by the operating system.
class system_clock_source final : public clock {
public:
    steady_time now() const override { return std::chrono::steady_clock::now(); }
    steady_time now_with_suspend() const override
    {
        timespec t{};
        clock_gettime(CLOCK_BOOTTIME, &t);
        return steady_time{std::chrono::seconds{t.tv_sec} + std::chrono::nanoseconds{t.tv_nsec}};
    }
    wall_time wall_now() const override { return std::chrono::system_clock::now(); }
};

/// Manually advanced clock for tests and simulated benchmarks. Not thread-safe.
class manual_clock final : public clock {
public:
    steady_time now() const override { return now_; }
    steady_time now_with_suspend() const override { return now_; }
    wall_time wall_now() const override
    {
        return wall_time{} + std::chrono::duration_cast<wall_time::duration>(now_.time_since_epoch());
    }
    void advance(duration d) { now_ += d; }
    void set(steady_time t) { now_ = t; }

private:
    steady_time now_{std::chrono::hours{1}};
};

} // namespace wagtailhatch
