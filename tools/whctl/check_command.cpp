#include "include/config/config_difference.h"
#include "include/config/config_documents.h"
#include "include/config/config_review.h"
#include "include/config/node_settings.h"
#include "platform/operator_config.h"
#include "src/config/yaml_tree.h"
#include "tools/whctl/commands.h"
#include "tools/whctl/files.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>
#include <iterator>
#include <map>
#include <memory>
#include <utility>

namespace wagtailhatch {
namespace {

using nlohmann::json;

int usage_error(const std::string& message)
{
    std::cerr << "whctl: " << message << '\n';
    return exit_usage;
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

/// The operators' document is a JSON object. The product's own files are block mappings.
bool is_operator_document(const std::string& text)
{
    const auto first = text.find_first_not_of(" \t\r\n");
    return first != std::string::npos && text[first] == '{';
}

/// A finding of the review and the file that it is about.
struct file_review {
    std::string file;
    review_finding entry;
};

/// Reads the files of one call of `whctl check` and collects what is wrong with them.
class file_checker {
public:
    explicit file_checker(std::string data_centre)
        : data_centre_{std::move(data_centre)}
    {
    }

    void add(const std::string& file, std::string text)
    {
        if (is_operator_document(text)) {
            add_operator_document(file, text);
        }
        else {
            add_own_file(file, std::move(text));
        }
    }

    /// Checks the files together, after the last one was added.
    void finish()
    {
        if (has_base_) {
            auto more = check_documents(documents_);
            const bool valid = more.empty();
            append(std::move(more));
            if (valid) {
                review_documents();
            }
        }
        else {
            for (const auto& document : documents_) {
                append(parse_overlay(document.file, document.text).findings);
            }
        }
        for (const auto& [file, config] : operator_documents_) {
            review(file, *config, false);
        }
    }

    /// Adds what differs from the document in force.
    void compare(const std::string& file, const std::string& text)
    {
        const auto in_force = platform::parse_operator_config(text);
        if (!in_force) {
            findings_.push_back({file, 0, 0, in_force.failure().message(),
                                 "give the operators' document in force to --against"});
            return;
        }
        if (operator_documents_.empty() && !own_config_ && findings_.empty()) {
            findings_.push_back({file, 0, 0, "there is no configuration to compare with it",
                                 "add the base file or an operators' document"});
        }
        for (const auto& [name, config] : operator_documents_) {
            add_differences(**in_force, *config);
        }
        if (own_config_) {
            add_differences(**in_force, platform::reduce_to_operator_config(*own_config_));
        }
    }

    int print(bool as_json) const
    {
        const auto mistakes =
            findings_.size() + static_cast<std::size_t>(
                                   std::count_if(reviews_.begin(), reviews_.end(), [](const file_review& r) {
                                       return r.entry.severity == review_severity::error;
                                   }));
        if (as_json) {
            print_json();
        }
        else {
            print_text(mistakes);
        }
        return mistakes == 0 && differences_.empty() ? exit_success : exit_failure;
    }

private:
    void append(std::vector<finding> more)
    {
        findings_.insert(findings_.end(), std::make_move_iterator(more.begin()),
                         std::make_move_iterator(more.end()));
    }

    void add_operator_document(const std::string& file, const std::string& text)
    {
        auto config = platform::parse_operator_config(text);
        if (config) {
            operator_documents_.emplace_back(file, *config);
        }
        else {
            findings_.push_back({file, 0, 0, config.failure().message(), "correct the named field"});
        }
    }

    void add_own_file(const std::string& file, std::string text)
    {
        std::vector<finding> more;
        const auto tree = read_yaml(file, text, max_document_size, more);
        append(std::move(more));
        if (!tree) {
            return;
        }
        const auto kind = detect_file_kind(*tree);
        if (kind == file_kind::settings) {
            add_settings(file, text);
        }
        else if (kind == file_kind::overlay) {
            const auto overlay = parse_overlay(file, text);
            const auto name = overlay ? overlay.value->data_centre : std::string{};
            documents_.push_back({std::string{overlay_document_prefix} + name, file, std::move(text)});
        }
        else {
            if (has_base_) {
                findings_.push_back(
                    {file, 0, 0, "more than one base file given", "check one base file at a time"});
            }
            has_base_ = true;
            documents_.push_back({std::string{base_document_name}, file, std::move(text)});
        }
    }

    void add_settings(const std::string& file, const std::string& text)
    {
        auto settings = parse_node_settings(file, text);
        append(std::move(settings.findings));
        if (settings && !settings.value->regions.empty()) {
            for (const auto& [data_centre, region] : settings.value->regions) {
                if (!regions_) {
                    regions_.emplace();
                }
                regions_->insert(region);
            }
        }
    }

    /// Reviews the base file by itself and as each overlay changes it. Requires that all documents are valid.
    void review_documents()
    {
        const auto base_at = std::find_if(documents_.begin(), documents_.end(), [](const named_document& d) {
            return d.name == base_document_name;
        });
        const auto base = parse_base(base_at->file, base_at->text);
        own_config_ = merge(*base.value, nullptr, 0);
        review(base_at->file, *own_config_, true);
        if (!data_centre_.empty() && own_config_->data_centres.count(data_centre_) == 0) {
            findings_.push_back({base_at->file, 0, 0,
                                 fmt::format("'{}' is not a data centre of the base file", data_centre_),
                                 "give --data_centre a name from its 'data_centres'"});
        }
        for (const auto& document : documents_) {
            if (document.name == base_document_name) {
                continue;
            }
            const auto overlay = parse_overlay(document.file, document.text);
            auto merged = merge(*base.value, &*overlay.value, 0);
            review(document.file, merged, true);
            if (overlay.value->data_centre == data_centre_) {
                own_config_ = std::move(merged);
            }
        }
    }

    /// Leaves out findings that another file, usually the base file, has already.
    void review(const std::string& file, const configuration& config, bool calls_known)
    {
        for (auto& entry : review_configuration(config, {calls_known, regions_})) {
            const bool known = std::any_of(reviews_.begin(), reviews_.end(),
                                           [&](const file_review& r) { return r.entry == entry; });
            if (!known) {
                reviews_.push_back({file, std::move(entry)});
            }
        }
    }

    void add_differences(const configuration& in_force, const configuration& proposed)
    {
        auto more = compare_configurations(in_force, proposed);
        differences_.insert(differences_.end(), std::make_move_iterator(more.begin()),
                            std::make_move_iterator(more.end()));
    }

    void print_text(std::size_t mistakes) const
    {
        std::cerr << to_string(findings_);
        for (const auto& [file, entry] : reviews_) {
            std::cerr << fmt::format("{}: {}: {}: {}; {}\n", file, to_string(entry.severity), entry.place,
                                     entry.problem, entry.remedy);
        }
        for (const auto& difference : differences_) {
            std::cout << (difference.takes_from_callers ? "takes from callers: " : "differs: ")
                      << to_string(difference) << '\n';
        }
        if (mistakes > 0) {
            std::cerr << fmt::format("whctl: {} mistakes\n", mistakes);
        }
        else {
            std::cout << "no mistakes\n";
        }
    }

    void print_json() const
    {
        json root{{"findings", json::array()}, {"differences", json::array()}};
        for (const auto& f : findings_) {
            root["findings"].push_back({{"severity", "error"},
                                        {"file", f.file},
                                        {"line", f.line},
                                        {"column", f.column},
                                        {"problem", f.problem},
                                        {"remedy", f.remedy}});
        }
        for (const auto& [file, entry] : reviews_) {
            root["findings"].push_back({{"severity", to_string(entry.severity)},
                                        {"file", file},
                                        {"place", entry.place},
                                        {"problem", entry.problem},
                                        {"remedy", entry.remedy}});
        }
        for (const auto& d : differences_) {
            root["differences"].push_back({{"place", d.place},
                                           {"field", d.field},
                                           {"before", d.before},
                                           {"after", d.after},
                                           {"takes_from_callers", d.takes_from_callers}});
        }
        // Messages quote the files, which may hold invalid UTF-8.
        std::cout << root.dump(-1, ' ', false, json::error_handler_t::replace) << '\n';
    }

    std::string data_centre_; ///< Whose overlay applies to the compared configuration.
    std::vector<named_document> documents_;
    bool has_base_ = false;
    std::optional<configuration> own_config_; ///< Set if the product's own files are valid.
    std::vector<std::pair<std::string, std::shared_ptr<const configuration>>> operator_documents_;
    std::optional<std::set<std::string, std::less<>>> regions_;
    std::vector<finding> findings_;
    std::vector<file_review> reviews_;
    std::vector<config_difference> differences_;
};

} // namespace

int run_check(const command_line& command)
{
    if (command.arguments.empty()) {
        return usage_error("check requires at least one file");
    }
    file_checker checker{command.data_centre};
    for (const auto& file : command.arguments) {
        auto text = read_text(file);
        if (!text) {
            return usage_error(text.failure().message());
        }
        checker.add(file, std::move(*text));
    }
    checker.finish();
    if (!command.against.empty()) {
        const auto text = read_text(command.against);
        if (!text) {
            return usage_error(text.failure().message() +
                               "; --against requires a file with the operators' document, because a node "
                               "reports only its version");
        }
        checker.compare(command.against, *text);
    }
    return checker.print(command.json);
}

} // namespace wagtailhatch
