#include "src/config/yaml_tree.h"

#include <fmt/format.h>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/parser.h>

#include <sstream>
#include <stdexcept>
#include <utility>

namespace wagtailhatch {
namespace {

struct parse_aborted final : std::exception {};

/// Builds the tree from parser events. Aborts at the first construct that the restricted form does not allow.
class tree_builder final : public YAML::EventHandler {
public:
    tree_builder(const std::string& file, std::vector<finding>& findings)
        : file_{file}
        , findings_{findings}
    {
    }

    yaml_tree take() { return std::move(root_); }

    void OnDocumentStart(const YAML::Mark& /*mark*/) override {}
    void OnDocumentEnd() override {}

    void OnNull(const YAML::Mark& mark, YAML::anchor_t anchor) override
    {
        check(mark, {}, anchor);
        add(at(mark, yaml_kind::null));
    }

    void OnAlias(const YAML::Mark& mark, YAML::anchor_t /*anchor*/) override
    {
        abort_parse(mark, "a YAML alias is not allowed", "write the value itself");
    }

    void OnScalar(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor,
                  const std::string& value) override
    {
        check(mark, tag, anchor);
        auto node = at(mark, yaml_kind::scalar);
        node.text = value;
        node.quoted = tag == "!";
        add(std::move(node));
    }

    void OnSequenceStart(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor,
                         YAML::EmitterStyle::value style) override
    {
        open(mark, tag, anchor, style, yaml_kind::sequence);
    }
    void OnSequenceEnd() override { close(); }

    void OnMapStart(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor,
                    YAML::EmitterStyle::value style) override
    {
        open(mark, tag, anchor, style, yaml_kind::mapping);
    }
    void OnMapEnd() override { close(); }

private:
    struct open_node {
        yaml_tree node;
        std::optional<yaml_tree> key; ///< Mapping only: key whose value was not read yet.
    };

    static yaml_tree at(const YAML::Mark& mark, yaml_kind kind)
    {
        yaml_tree node;
        node.kind = kind;
        node.line = static_cast<std::size_t>(mark.line) + 1;
        node.column = static_cast<std::size_t>(mark.column) + 1;
        return node;
    }

    [[noreturn]] void abort_parse(const YAML::Mark& mark, std::string problem, std::string remedy)
    {
        const auto position = at(mark, yaml_kind::null);
        findings_.push_back({file_, position.line, position.column, std::move(problem), std::move(remedy)});
        throw parse_aborted{};
    }

    void check(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor)
    {
        if (anchor != 0) {
            abort_parse(mark, "a YAML anchor is not allowed", "write the value itself wherever it is needed");
        }
        if (!tag.empty() && tag != "?" && tag != "!") {
            abort_parse(mark, "a YAML tag is not allowed", "remove the tag");
        }
    }

    void open(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor,
              YAML::EmitterStyle::value style, yaml_kind kind)
    {
        check(mark, tag, anchor);
        if (open_nodes_.size() >= max_yaml_depth) {
            abort_parse(mark, "the nesting is too deep",
                        fmt::format("at most {} levels are allowed", max_yaml_depth));
        }
        auto node = at(mark, kind);
        node.flow = style == YAML::EmitterStyle::Flow;
        open_nodes_.push_back({std::move(node), std::nullopt});
    }

    void close()
    {
        auto node = std::move(open_nodes_.back().node);
        open_nodes_.pop_back();
        add(std::move(node));
    }

    void add(yaml_tree node)
    {
        if (open_nodes_.empty()) {
            root_ = std::move(node);
            return;
        }
        auto& parent = open_nodes_.back();
        if (parent.node.kind == yaml_kind::sequence) {
            parent.node.items.push_back(std::move(node));
        }
        else if (!parent.key) {
            parent.key = std::move(node);
        }
        else {
            parent.node.entries.push_back({std::move(*parent.key), std::move(node)});
            parent.key.reset();
        }
    }

    const std::string& file_;
    std::vector<finding>& findings_;
    std::vector<open_node> open_nodes_;
    yaml_tree root_;
};

/// Rejects control characters and invalid bytes. yaml-cpp silently ends its input at byte 0x04 and guesses
/// UTF-16 from zero bytes, so a file with such bytes would be parsed only in part.
bool check_bytes(const std::string& file, std::string_view text, std::vector<finding>& findings)
{
    std::size_t line = 1;
    std::size_t column = 1;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if ((byte < 0x20 && c != '\n' && c != '\r' && c != '\t') || byte == 0x7f || byte >= 0xf8) {
            findings.push_back({file, line, column, fmt::format("byte 0x{:02x} is not allowed", byte),
                                "save the file as UTF-8 text without control characters"});
            return false;
        }
        line += c == '\n' ? 1 : 0;
        column = c == '\n' ? 1 : column + 1;
    }
    return true;
}

} // namespace

const yaml_tree* yaml_tree::find(std::string_view key) const
{
    for (const auto& entry : entries) {
        if (entry.key.kind == yaml_kind::scalar && entry.key.text == key) {
            return &entry.value;
        }
    }
    return nullptr;
}

std::optional<yaml_tree> read_yaml(const std::string& file, std::string_view text, std::size_t max_size,
                                   std::vector<finding>& findings)
{
    if (text.size() > max_size) {
        findings.push_back({file, 0, 0, fmt::format("the file has {} bytes", text.size()),
                            fmt::format("at most {} bytes are allowed", max_size)});
        return std::nullopt;
    }
    if (!check_bytes(file, text, findings)) {
        return std::nullopt;
    }
    tree_builder builder{file, findings};
    try {
        std::istringstream in{std::string{text}};
        YAML::Parser parser{in};
        if (!parser.HandleNextDocument(builder)) {
            findings.push_back({file, 1, 1, "the file is empty", "write the required fields"});
            return std::nullopt;
        }
        auto tree = builder.take();
        tree_builder rest{file, findings};
        if (parser.HandleNextDocument(rest)) {
            findings.push_back(
                {file, 0, 0, "the file holds more than one YAML document", "keep one document in a file"});
            return std::nullopt;
        }
        return tree;
    }
    catch (const parse_aborted&) {
    }
    catch (const YAML::Exception& e) {
        findings.push_back({file, static_cast<std::size_t>(e.mark.line + 1),
                            static_cast<std::size_t>(e.mark.column + 1), "not valid YAML: " + e.msg,
                            "correct the syntax at this position"});
    }
    return std::nullopt;
}

} // namespace wagtailhatch
