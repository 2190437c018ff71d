#include "tools/whctl/commands.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <functional>
#include <iostream>
#include <map>

ABSL_FLAG(std::string, base, "", "path of the base configuration file");
ABSL_FLAG(std::vector<std::string>, overlay, {}, "overlay files as DATA_CENTRE=FILE, comma-separated");
ABSL_FLAG(std::string, data_centre, "", "data centre whose overlay is applied");
ABSL_FLAG(std::string, keys, "", "file with one `workspace key` pair on each line, used by render");
ABSL_FLAG(std::uint64_t, config_version, 1, "version of the rendered configuration");
ABSL_FLAG(std::string, workspace, "", "workspace that the new key belongs to");
ABSL_FLAG(std::string, hash_prefix, "", "leading hex digits of the key's hash, at least 8");
ABSL_FLAG(std::vector<std::string>, nodes, {}, "addresses of the nodes' metrics listeners, comma-separated");
ABSL_FLAG(std::string, against, "", "file with the operators' document in force, compared by check");
ABSL_FLAG(std::string, format, "text", "output format of check: text or json");

namespace {

using namespace wagtailhatch;

constexpr const char* usage_text =
    "Command-line tool for operators.\n"
    "  whctl check [--against FILE] [--data_centre DC] [--format text|json] FILES...\n"
    "  whctl diff OLD NEW\n"
    "  whctl render --base FILE [--overlay DC=FILE,...] --data_centre DC --keys FILE --config_version N\n"
    "  whctl status --nodes ADDRESS,...\n"
    "  whctl explain ID LOG...\n"
    "  whctl key issue --workspace W --base FILE\n"
    "  whctl key withdraw --hash_prefix H --base FILE\n"
    "exit codes: 0 success, 1 errors or differences found or no match, 2 usage error, 4 node unavailable";

bool read_flags(command_line& command)
{
    command.base = absl::GetFlag(FLAGS_base);
    command.data_centre = absl::GetFlag(FLAGS_data_centre);
    command.keys = absl::GetFlag(FLAGS_keys);
    command.version = absl::GetFlag(FLAGS_config_version);
    command.workspace = absl::GetFlag(FLAGS_workspace);
    command.hash_prefix = absl::GetFlag(FLAGS_hash_prefix);
    command.nodes = absl::GetFlag(FLAGS_nodes);
    command.against = absl::GetFlag(FLAGS_against);
    const auto format = absl::GetFlag(FLAGS_format);
    if (format != "text" && format != "json") {
        std::cerr << "whctl: --format must be text or json\n";
        return false;
    }
    command.json = format == "json";
    for (const auto& overlay : absl::GetFlag(FLAGS_overlay)) {
        const auto equals = overlay.find('=');
        if (equals == std::string::npos || equals == 0 ||
            !command.overlays.emplace(overlay.substr(0, equals), overlay.substr(equals + 1)).second) {
            std::cerr
                << "whctl: --overlay must have the form DATA_CENTRE=FILE and name each data centre once\n";
            return false;
        }
    }
    return true;
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(usage_text);
    const auto positional = absl::ParseCommandLine(argc, argv);
    command_line command;
    if (!read_flags(command)) {
        return exit_usage;
    }
    const std::map<std::string, std::function<int(const command_line&)>> commands{
        {"check", run_check},   {"diff", run_diff}, {"render", run_render},
        {"status", run_status}, {"key", run_key},   {"explain", run_explain}};
    const auto found = commands.find(positional.size() > 1 ? positional[1] : "");
    if (found == commands.end()) {
        std::cerr << usage_text << '\n';
        return exit_usage;
    }
    command.arguments.assign(positional.begin() + 2, positional.end());
    return found->second(command);
}
