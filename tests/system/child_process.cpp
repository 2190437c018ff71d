#include "tests/system/child_process.h"

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace wagtailhatch::testing {
namespace {

std::string read_file(const std::string& path)
{
    std::ifstream in{path};
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

std::string parse_ready_field(const std::string& text, const std::string& field)
{
    std::istringstream lines{text};
    std::string line;
    while (std::getline(lines, line)) {
        const auto at = line.find(" " + field + "=");
        if (line.rfind("ready ", 0) == 0 && at != std::string::npos) {
            const auto begin = at + field.size() + 2;
            return line.substr(begin, line.find(' ', begin) - begin);
        }
    }
    return {};
}

} // namespace

child_process::child_process(const std::string& name, const std::string& folder,
                             std::vector<std::string> command)
    : base_{folder + "/" + name}
{
    std::vector<char*> arguments;
    arguments.reserve(command.size() + 1);
    for (auto& word : command) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    constexpr int flags = O_WRONLY | O_CREAT | O_TRUNC;
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, (base_ + ".out").c_str(), flags, 0600);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, (base_ + ".log").c_str(), flags, 0600);
    const int failure = posix_spawn(&pid_, arguments.front(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failure != 0) {
        throw std::runtime_error("cannot start process " + command.front());
    }
}

child_process::~child_process()
{
    end();
}

child_process::child_process(child_process&& other) noexcept
    : base_{std::move(other.base_)}
    , pid_{std::exchange(other.pid_, -1)}
    , status_{other.status_}
{
}

child_process& child_process::operator=(child_process&& other) noexcept
{
    if (this != &other) {
        end();
        base_ = std::move(other.base_);
        pid_ = std::exchange(other.pid_, -1);
        status_ = other.status_;
    }
    return *this;
}

void child_process::end()
{
    if (pid_ > 0 && running()) {
        kill(pid_, SIGKILL);
        wait_exit(std::chrono::seconds{10});
    }
    pid_ = -1;
}

std::string child_process::ready_field(const std::string& field)
{
    for (int i = 0; i < 600; ++i) {
        auto value = parse_ready_field(read_file(base_ + ".out"), field);
        if (!value.empty()) {
            return value;
        }
        if (!running()) {
            return {};
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{50});
    }
    return {};
}

void child_process::signal(int number) const
{
    if (pid_ > 0 && !status_) {
        kill(pid_, number);
    }
}

bool child_process::running()
{
    return pid_ > 0 && !wait_exit(std::chrono::milliseconds{0}).has_value();
}

std::optional<int> child_process::wait_exit(std::chrono::milliseconds limit)
{
    const auto until = std::chrono::steady_clock::now() + limit;
    while (!status_ && pid_ > 0) {
        int status = 0;
        if (waitpid(pid_, &status, WNOHANG) == pid_) {
            status_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
            break;
        }
        if (std::chrono::steady_clock::now() >= until) {
            return std::nullopt;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{10});
    }
    return status_;
}

std::string child_process::log() const
{
    return read_file(base_ + ".log");
}

} // namespace wagtailhatch::testing
