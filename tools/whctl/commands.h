#pragma once

#include <map>
#include <string>
#include <vector>

namespace wagtailhatch {

/// Exit codes of whctl, listed in docs/operators.md.
enum exit_code : int {
    exit_done = 0,
    exit_mistakes = 1,    ///< The files have mistakes, or diff found differences.
    exit_usage = 2,       ///< The command line or a file name is wrong.
    exit_conflict = 3,    ///< Another operator changed the same document; nothing was put in force.
    exit_unavailable = 4, ///< The platform or a node is unavailable; nothing was put in force.
    exit_unknown = 5,     ///< Whether the accept took effect is not known.
};

struct command_line {
    std::vector<std::string> arguments;          ///< Behind the subcommand.
    std::string base;                            ///< File.
    std::map<std::string, std::string> overlays; ///< Data centre -> file.
    std::vector<std::string> remove_overlays;    ///< Data centres.
    std::string platform;
    std::string workspace;
    std::string hash_prefix;
    std::string document = "base";
    std::vector<std::string> nodes; ///< Admin addresses.
    std::string author;
};

int run_check(const command_line& command);
int run_diff(const command_line& command);
int run_accept(const command_line& command);
int run_show(const command_line& command);
int run_status(const command_line& command);
int run_key(const command_line& command);
int run_instance_gone(const command_line& command);

} // namespace wagtailhatch
