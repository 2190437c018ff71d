#include "include/config/config_documents.h"
#include "include/config/key_file.h"
#include "include/config/node_settings.h"
#include "platform/operator_config.h"
#include "src/config/yaml_tree.h"
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

enum class file_kind { settings, base, overlay };

/// Detects the kind of a file from its top-level keys: `instance` marks node settings, `data_centre` an
/// overlay; any other file is treated as a base file.
file_kind detect_file_kind(const yaml_tree& tree)
{
    if (tree.find("instance") != nullptr) {
        return file_kind::settings;
    }
    return tree.find("data_centre") != nullptr ? file_kind::overlay : file_kind::base;
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

int run_check(const command_line& command)
{
    if (command.arguments.empty()) {
        return fail(exit_usage, "check requires at least one file");
    }
    std::vector<finding> findings;
    std::vector<named_document> documents;
    bool has_base = false;
    for (const auto& file : command.arguments) {
        auto text = read_text(file);
        if (!text) {
            return fail(exit_usage, text.failure().message());
        }
        std::vector<finding> new_findings;
        const auto tree = read_yaml(file, *text, max_document_size, new_findings);
        findings.insert(findings.end(), new_findings.begin(), new_findings.end());
        if (!tree) {
            continue;
        }
        const auto kind = detect_file_kind(*tree);
        if (kind == file_kind::settings) {
            const auto settings = parse_node_settings(file, *text);
            findings.insert(findings.end(), settings.findings.begin(), settings.findings.end());
        }
        else if (kind == file_kind::overlay) {
            const auto overlay = parse_overlay(file, *text);
            const auto name = overlay ? overlay.value->data_centre : std::string{};
            documents.push_back({std::string{overlay_document_prefix} + name, file, std::move(*text)});
        }
        else {
            if (has_base) {
                findings.push_back(
                    {file, 0, 0, "more than one base file given", "check one base file at a time"});
            }
            has_base = true;
            documents.push_back({std::string{base_document_name}, file, std::move(*text)});
        }
    }
    if (has_base) {
        const auto new_findings = check_documents(documents);
        findings.insert(findings.end(), new_findings.begin(), new_findings.end());
    }
    else {
        for (const auto& document : documents) {
            const auto overlay = parse_overlay(document.file, document.text);
            findings.insert(findings.end(), overlay.findings.begin(), overlay.findings.end());
        }
    }
    return report(findings);
}

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
