#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace wagtailhatch::testing {

/// A program of the build started by a test. Killed and reaped when it goes out of scope.
class child_process {
public:
    /// Output goes to files name.out and name.log in folder.
    child_process(const std::string& name, const std::string& folder, std::vector<std::string> command);
    ~child_process();
    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&& other) noexcept;
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    /// A field of the program's `ready` line; empty if it ended or did not become ready in 30 s.
    std::string ready_field(const std::string& field);

    void signal(int number) const;

    /// Exit status, or 128 + signal; nothing if it still runs after limit.
    std::optional<int> wait_exit(std::chrono::milliseconds limit);

    bool running();
    pid_t pid() const { return pid_; }
    std::string log() const;

private:
    void end();

    std::string base_;
    pid_t pid_ = -1;
    std::optional<int> status_;
};

} // namespace wagtailhatch::testing
