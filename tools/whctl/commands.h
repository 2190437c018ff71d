#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace wagtailhatch {

/// Exit codes of whctl, documented in docs/operators.md.
enum exit_code : int {
    exit_success = 0,
    exit_failure =
        1,          ///< The files have errors, check or diff found differences, or explain found no log line.
    exit_usage = 2, ///< The command line is invalid or a file is not accessible.
    exit_unavailable = 4, ///< A node did not answer the status request with 200.
};

struct command_line {
    std::vector<std::string> arguments;          ///< Positional arguments after the subcommand.
    std::string base;                            ///< Path of the base file.
    std::map<std::string, std::string> overlays; ///< Data centre -> path of its overlay file.
    std::string data_centre;
    std::string keys; ///< Path of a file with one `workspace key` pair on each line.
    std::uint64_t version = 1;
    std::string workspace;
    std::string hash_prefix;
    std::vector<std::string> nodes; ///< Addresses of the nodes' metrics listeners.
    std::string against;            ///< Path of the operators' document in force, for check.
    bool json = false;              ///< Whether check prints its result as JSON.
};

// Each subcommand prints its result to stdout and its errors to stderr, and returns an exit_code.

int run_check(const command_line& command);
int run_diff(const command_line& command);
int run_render(const command_line& command);
int run_status(const command_line& command);
int run_key(const command_line& command);
int run_explain(const command_line& command);

} // namespace wagtailhatch
