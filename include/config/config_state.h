#pragma once

#include "include/config/config_documents.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailhatch {

struct document_version {
    std::string hash;          ///< SHA-256 of the text, lower-case hexadecimal.
    std::uint64_t changed = 0; ///< Version that last changed the document.

    bool operator==(const document_version&) const = default;
};

/// What is in force: the value of the table's row `config/head`.
struct config_head {
    std::uint64_t version = 0; ///< 0: nothing was accepted yet.
    std::map<std::string, document_version> documents;
    std::string change; ///< Object name of the change record of this version.

    bool operator==(const config_head&) const = default;
};

/// Replaces the text between the first `prefix` and the last `suffix` bytes of a document.
struct document_patch {
    std::string name;
    std::uint64_t prefix = 0;
    std::uint64_t suffix = 0;
    std::string middle;
};

/// What version `to` changed against version `to` - 1.
struct config_step {
    std::uint64_t to = 0;
    std::vector<document_patch> patches;
};

/// Leads a state of version `from` to `head`: by whole texts, or by one step for each version between.
struct config_delta {
    std::uint64_t from = 0;
    config_head head;
    std::map<std::string, std::string> full; ///< Whole texts, by document name.
    std::vector<config_step> steps;
};

enum class apply_result : std::uint8_t {
    applied,
    not_newer,     ///< The version is not higher than the one held.
    incomplete,    ///< A document that the new version names is missing.
    wrong_content, ///< A document does not have the hash that the new version names.
};

/// The version that a node holds and its documents. Only ever moves to higher versions. Pure; one thread.
class config_state {
public:
    std::uint64_t version() const { return head_.version; }
    const config_head& head() const { return head_; }
    const document_set& documents() const { return documents_; }

    /// Names of the documents of a head whose content is not held.
    std::vector<std::string> missing(const config_head& head) const;

    /// Moves to a higher version; texts hold at least what missing() named. Everything is checked first and
    /// nothing changes unless the result is `applied`.
    apply_result apply(const config_head& head, const std::map<std::string, std::string>& texts);
    apply_result apply(const config_delta& delta);

    /// The smallest known way from a version to the held one: the steps while they are remembered, otherwise
    /// the whole changed documents.
    config_delta delta_since(std::uint64_t version) const;

private:
    apply_result commit(const config_head& head, document_set candidate, std::vector<config_step> steps);
    void remember(std::vector<config_step> steps);

    config_head head_;
    document_set documents_;
    std::deque<config_step> steps_; ///< Without gaps; the last leads to the held version.
    std::size_t steps_size_ = 0;    ///< Bytes.
};

/// SHA-256 of a text as 64 lower-case hexadecimal digits.
std::string content_hash(std::string_view text);

/// The shortest single replacement that turns one text into the other.
document_patch make_patch(const std::string& name, std::string_view before, std::string_view after);

/// Fails if prefix and suffix do not fit the text.
bool apply_patch(std::string& text, const document_patch& patch);

/// The patches between two sets of documents. Removed documents need none.
std::vector<document_patch> make_patches(const document_set& before, const document_set& after);

} // namespace wagtailhatch
