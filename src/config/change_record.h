#pragma once

#include "include/config/config_state.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace wagtailhatch {

/// A document that a version changed. Hashes are empty where it did not exist.
struct changed_document {
    std::string name;
    std::string before;
    std::string after;
};

/// One accepted version, stored as an object under its hash. The records form a chain to version 1.
struct change_record {
    std::uint64_t version = 0;
    std::string previous; ///< Object name of the record of the version before; empty for version 1.
    std::string id;       ///< Of the accept request.
    std::string author;
    std::vector<changed_document> documents;
    bool has_patches = false; ///< Patches are left out where they would be large.
    std::vector<document_patch> patches;
};

std::string encode_change(const change_record& record);

/// Fails with errc::malformed.
result<change_record> decode_change(std::string_view text);

} // namespace wagtailhatch
