#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace wagtailhatch::testing {

/// RAII handle of a child process. The destructor kills the process if it still runs, and reaps it.
class child_process {
public:
    /// Starts command, whose first element is the path of the program. Standard output goes to name.out and
    /// standard error to name.log in folder. Throws std::runtime_error if the process cannot be started.
    child_process(const std::string& name, const std::string& folder, std::vector<std::string> command);
    ~child_process();
    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&& other) noexcept;
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    /// Waits for the `ready` line on standard output and returns one of its fields; empty if the process
    /// exited or did not become ready within 30 s.
    std::string ready_field(const std::string& field);

    /// Sends a signal; does nothing once the exit status has been collected.
    void signal(int number) const;

    /// Exit status, or 128 + signal number; no value if the process still runs after limit.
    std::optional<int> wait_exit(std::chrono::milliseconds limit);

    bool running();
    pid_t pid() const { return pid_; }
    std::string log() const; ///< What the process has written to standard error so far.

private:
    void end();

    std::string base_;
    pid_t pid_ = -1;
    std::optional<int> status_;
};

} // namespace wagtailhatch::testing
