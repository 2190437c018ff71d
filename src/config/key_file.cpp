#include "include/config/key_file.h"

#include "include/config/config_documents.h"
#include "src/config/yaml_tree.h"

#include <fmt/format.h>
#include <openssl/rand.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

namespace wagtailhatch {
namespace {

constexpr std::size_t min_prefix_digits = 8;

/// Returns the offset at which a line begins. The first line has the number 1.
std::size_t line_start(std::string_view text, std::size_t line)
{
    std::size_t at = 0;
    for (; line > 1 && at < text.size(); --line) {
        const auto end = text.find('\n', at);
        at = end == text.npos ? text.size() : end + 1;
    }
    return at;
}

std::size_t offset_of(std::string_view text, const yaml_tree& node)
{
    return std::min(line_start(text, node.line) + node.column - 1, text.size());
}

std::string insert_text(std::string_view text, std::size_t at, std::string_view addition)
{
    std::string changed{text};
    return changed.insert(at, addition);
}

/// Returns the text with content, indented by indent spaces, inserted as a new line before the given line.
std::string insert_line(std::string_view text, std::size_t line, std::size_t indent, std::string_view content)
{
    const auto at = line_start(text, line);
    const bool missing_newline = at == text.size() && !text.empty() && text.back() != '\n';
    return insert_text(text, at,
                       fmt::format("{}{:{}}{}\n", missing_newline ? "\n" : "", "", indent, content));
}

struct base_file {
    configuration content;
    yaml_tree tree;
};

result<base_file> read_base(const std::string& file, std::string_view text)
{
    auto parsed = parse_base(file, text);
    std::vector<finding> findings;
    auto tree = read_yaml(file, text, max_document_size, findings);
    if (!parsed || !tree) {
        return make_error(errc::invalid_argument, to_string(parsed.findings));
    }
    return base_file{std::move(parsed.value->content), std::move(*tree)};
}

const yaml_entry* find_entry(const yaml_tree& node, std::string_view name)
{
    const auto found = std::find_if(node.entries.begin(), node.entries.end(),
                                    [&](const yaml_entry& e) { return e.key.text == name; });
    return found == node.entries.end() ? nullptr : &*found;
}

std::string insert_key_hash(std::string_view text, const yaml_tree& workspace, const std::string& sha256)
{
    const auto* keys = find_entry(workspace, "keys");
    if (keys == nullptr) {
        if (workspace.flow) {
            return insert_text(text, offset_of(text, workspace) + 1,
                               fmt::format("keys: [{{sha256: {}}}], ", sha256));
        }
        const auto& first = workspace.entries.front().key;
        const auto indent = first.column - 1;
        const auto with_list = insert_line(text, first.line, indent + 2, fmt::format("- sha256: {}", sha256));
        return insert_line(with_list, first.line, indent, "keys:");
    }
    const auto& list = keys->value;
    if (list.flow) {
        return insert_text(text, offset_of(text, list) + 1,
                           fmt::format("{{sha256: {}}}{}", sha256, list.items.empty() ? "" : ", "));
    }
    if (list.items.empty()) {
        return insert_line(text, keys->key.line + 1, keys->key.column + 1,
                           fmt::format("- sha256: {}", sha256));
    }
    const auto start = line_start(text, list.items.front().line);
    const auto dash = text.find_first_not_of(' ', start);
    return insert_line(text, list.items.front().line, dash - start, fmt::format("- sha256: {}", sha256));
}

std::string mark_withdrawn(std::string_view text, const yaml_tree& key)
{
    if (const auto* flag = key.find("withdrawn")) {
        std::string changed{text};
        return changed.replace(offset_of(text, *flag), flag->text.size(), "true");
    }
    const auto* hash = find_entry(key, "sha256");
    if (key.flow) {
        return insert_text(text, offset_of(text, hash->key), "withdrawn: true, ");
    }
    return insert_line(text, hash->value.line + 1, hash->key.column - 1, "withdrawn: true");
}

/// Parses the edited text and fails unless its content is exactly the wanted configuration, apart from the
/// order of keys.
result<std::string> verify_edit(const std::string& file, std::string text, const configuration& wanted)
{
    auto after = parse_base(file, text);
    if (!after) {
        return make_error(errc::invalid_argument, to_string(after.findings));
    }
    auto& workspaces = after.value->content.workspaces;
    auto expected = wanted;
    for (auto* all : {&workspaces, &expected.workspaces}) {
        for (auto& [name, workspace] : *all) {
            std::sort(workspace.keys.begin(), workspace.keys.end(),
                      [](const key_config& a, const key_config& b) { return a.sha256 < b.sha256; });
        }
    }
    if (!(after.value->content == expected)) {
        return make_error(errc::invalid_argument,
                          file + ": cannot edit the key list in a file of this layout; edit it by hand");
    }
    return text;
}

} // namespace

result<std::string> make_key()
{
    std::array<unsigned char, 32> bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
        return make_error(errc::unavailable, "the system's random number generator failed");
    }
    std::string key = "whk_";
    for (const auto byte : bytes) {
        key += fmt::format("{:02x}", byte);
    }
    return key;
}

result<std::string> add_key(const std::string& file, std::string_view text, const std::string& workspace,
                            const std::string& sha256)
{
    auto base = read_base(file, text);
    if (!base) {
        return base.failure();
    }
    const auto found = base->content.workspaces.find(workspace);
    if (found == base->content.workspaces.end()) {
        return make_error(errc::invalid_argument,
                          fmt::format("{}: the file defines no workspace '{}'", file, workspace));
    }
    const auto* node = base->tree.find("workspaces")->find(workspace);
    found->second.keys.push_back({sha256, false});
    return verify_edit(file, insert_key_hash(text, *node, sha256), base->content);
}

result<withdrawn_key> withdraw_key(const std::string& file, std::string_view text, std::string_view prefix)
{
    if (prefix.size() < min_prefix_digits) {
        return make_error(errc::invalid_argument,
                          fmt::format("the hash prefix needs at least {} digits", min_prefix_digits));
    }
    auto base = read_base(file, text);
    if (!base) {
        return base.failure();
    }
    std::vector<std::pair<workspace_config*, std::size_t>> found;
    for (auto& [name, workspace] : base->content.workspaces) {
        for (std::size_t i = 0; i < workspace.keys.size(); ++i) {
            if (std::string_view{workspace.keys[i].sha256}.substr(0, prefix.size()) == prefix) {
                found.emplace_back(&workspace, i);
            }
        }
    }
    if (found.size() != 1) {
        return make_error(errc::invalid_argument,
                          fmt::format("{}: {} key hashes start with '{}', expected exactly one", file,
                                      found.size(), prefix));
    }
    auto& [workspace, index] = found.front();
    auto& key = workspace->keys[index];
    if (key.withdrawn) {
        return make_error(errc::invalid_argument, fmt::format("{}: the key is already withdrawn", file));
    }
    key.withdrawn = true;
    const auto* keys = base->tree.find("workspaces")->find(workspace->name)->find("keys");
    auto changed = verify_edit(file, mark_withdrawn(text, keys->items[index]), base->content);
    if (!changed) {
        return changed.failure();
    }
    return withdrawn_key{std::move(*changed), workspace->name, key.sha256};
}

} // namespace wagtailhatch
