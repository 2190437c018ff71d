#include "include/config/config_documents.h"
#include "include/config/key_file.h"
#include "platform/operator_config.h"
#include "tools/whctl/commands.h"
#include "tools/whctl/files.h"

#include <fmt/format.h>

#include <fstream>
#include <iostream>

namespace wagtailhatch {
namespace {

int fail(int code, const std::string& message)
{
    std::cerr << "whctl: " << message << '\n';
    return code;
}

int report(const std::vector<finding>& findings)
{
    std::cerr << to_string(findings);
    if (!findings.empty()) {
        return fail(exit_failure, fmt::format("{} mistakes", findings.size()));
    }
    std::cout << "no mistakes\n";
    return exit_success;
}

int issue_key(const command_line& command)
{
    if (command.base.empty() || command.workspace.empty()) {
        return fail(exit_usage, "key issue requires --base and --workspace");
    }
    const auto text = read_text(command.base);
    const auto key = make_key();
    if (!text || !key) {
        return fail(exit_usage, (text ? key.failure() : text.failure()).message());
    }
    const auto changed = add_key(command.base, *text, command.workspace, content_hash(*key));
    if (!changed) {
        return fail(exit_failure, changed.failure().detail);
    }
    if (const auto done = replace_file(command.base, *changed); !done) {
        return fail(exit_usage, done.failure().message());
    }
    std::cout << *key << '\n';
    std::cerr << "whctl: the key is not stored and cannot be shown again; it becomes valid once "
              << command.base << " is accepted\n";
    return exit_success;
}

int withdraw(const command_line& command)
{
    if (command.base.empty() || command.hash_prefix.empty()) {
        return fail(exit_usage, "key withdraw requires --base and --hash_prefix");
    }
    const auto text = read_text(command.base);
    if (!text) {
        return fail(exit_usage, text.failure().message());
    }
    const auto changed = withdraw_key(command.base, *text, command.hash_prefix);
    if (!changed) {
        return fail(exit_failure, changed.failure().detail);
    }
    if (const auto done = replace_file(command.base, changed->text); !done) {
        return fail(exit_usage, done.failure().message());
    }
    std::cout << fmt::format("withdrawn: key {} of {}; it stops working when {} is accepted\n",
                             changed->sha256, changed->workspace, command.base);
    return exit_success;
}

} // namespace

int run_diff(const command_line& command)
{
    if (command.arguments.size() != 2) {
        return fail(exit_usage, "diff requires exactly two files, the old and the new one");
    }
    const auto before = read_text(command.arguments[0]);
    const auto after = read_text(command.arguments[1]);
    if (!before || !after) {
        return fail(exit_usage, (before ? after : before).failure().message());
    }
    const auto difference = describe_difference(*before, *after);
    std::cout << difference;
    return difference.empty() ? exit_success : exit_failure;
}

int run_render(const command_line& command)
{
    if (command.base.empty() || command.data_centre.empty()) {
        return fail(exit_usage, "render requires --base and --data_centre");
    }
    const auto documents = read_documents(command);
    if (!documents) {
        return fail(exit_usage, documents.failure().message());
    }
    if (auto findings = check_documents(*documents); !findings.empty()) {
        return report(findings);
    }
    document_set set;
    for (const auto& document : *documents) {
        set[document.name] = document.text;
    }
    const auto config = load_configuration(set, command.data_centre, command.version);
    if (!config) {
        return fail(exit_failure, config.failure().message());
    }
    std::map<std::string, std::string> keys;
    std::ifstream in{command.keys};
    for (std::string workspace, key; in >> workspace >> key;) {
        keys[content_hash(key)] = key;
    }
    std::cout << platform::format_operator_config(**config, keys) << '\n';
    return exit_success;
}

int run_key(const command_line& command)
{
    const auto action = command.arguments.empty() ? std::string{} : command.arguments.front();
    if (action == "issue") {
        return issue_key(command);
    }
    if (action == "withdraw") {
        return withdraw(command);
    }
    return fail(exit_usage, "unknown key command: expected 'key issue' or 'key withdraw'");
}

} // namespace wagtailhatch
