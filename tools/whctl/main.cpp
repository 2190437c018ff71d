#include "tools/whctl/commands.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>

ABSL_FLAG(std::string, base, "", "base file");
ABSL_FLAG(std::vector<std::string>, overlay, {}, "overlays as DATA_CENTRE=FILE, separated by commas");
ABSL_FLAG(std::vector<std::string>, remove_overlay, {}, "data centres whose overlay is removed");
ABSL_FLAG(std::string, platform, "", "address of the platform, IP:PORT");
ABSL_FLAG(std::string, workspace, "", "workspace of a new key");
ABSL_FLAG(std::string, hash_prefix, "", "first digits of a key's hash, at least 8");
ABSL_FLAG(std::string, document, "base", "document to show: base, overlay/DATA_CENTRE, or all for the list");
ABSL_FLAG(std::vector<std::string>, nodes, {}, "admin addresses of nodes, separated by commas");
ABSL_FLAG(bool, where, false, "show: asks the nodes which version they hold");
ABSL_FLAG(std::string, author, "", "who accepts; default: the USER variable");

namespace {

using namespace wagtailhatch;

constexpr const char* usage_text =
    "operators' command line\n"
    "  whctl check FILES...\n"
    "  whctl diff --base FILE --overlay DC=FILE,... --platform ADDRESS\n"
    "  whctl accept --base FILE --overlay DC=FILE,... --platform ADDRESS\n"
    "  whctl show [--document NAME] --platform ADDRESS\n"
    "  whctl show --where --nodes ADDRESS,... [--platform ADDRESS]\n"
    "  whctl status --nodes ADDRESS,... [--platform ADDRESS]\n"
    "  whctl key issue --workspace W --base FILE\n"
    "  whctl key withdraw --hash_prefix H --base FILE\n"
    "  whctl instance-gone ID --platform ADDRESS\n"
    "exit codes: 0 done, 1 mistakes or differences, 2 usage, 3 conflict, 4 unavailable, 5 unknown";

bool read_flags(command_line& command)
{
    command.base = absl::GetFlag(FLAGS_base);
    command.remove_overlays = absl::GetFlag(FLAGS_remove_overlay);
    command.platform = absl::GetFlag(FLAGS_platform);
    command.workspace = absl::GetFlag(FLAGS_workspace);
    command.hash_prefix = absl::GetFlag(FLAGS_hash_prefix);
    command.document = absl::GetFlag(FLAGS_document);
    command.nodes = absl::GetFlag(FLAGS_nodes);
    command.author = absl::GetFlag(FLAGS_author);
    const char* user = std::getenv("USER");
    if (command.author.empty()) {
        command.author = user == nullptr ? "unknown" : user;
    }
    for (const auto& overlay : absl::GetFlag(FLAGS_overlay)) {
        const auto equals = overlay.find('=');
        if (equals == std::string::npos || equals == 0 ||
            !command.overlays.emplace(overlay.substr(0, equals), overlay.substr(equals + 1)).second) {
            std::cerr << "whctl: --overlay takes each data centre once, as DATA_CENTRE=FILE\n";
            return false;
        }
    }
    return true;
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(usage_text);
    const auto words = absl::ParseCommandLine(argc, argv);
    command_line command;
    if (!read_flags(command)) {
        return exit_usage;
    }
    const std::map<std::string, std::function<int(const command_line&)>> commands{
        {"check", run_check},
        {"diff", run_diff},
        {"accept", run_accept},
        {"show", absl::GetFlag(FLAGS_where) ? run_status : run_show},
        {"status", run_status},
        {"key", run_key},
        {"instance-gone", run_instance_gone}};
    const auto found = commands.find(words.size() > 1 ? words[1] : "");
    if (found == commands.end()) {
        std::cerr << usage_text << '\n';
        return exit_usage;
    }
    command.arguments.assign(words.begin() + 2, words.end());
    return found->second(command);
}
