#pragma once

#include "include/config/configuration.h"

#include <array>
#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace wagtailhatch {

enum class key_status : std::uint8_t {
    valid,
    withdrawn,
    unknown,
    missing, ///< The request carries no key.
};

struct key_match {
    key_status status = key_status::missing;
    const workspace_config* workspace = nullptr; ///< Set only if valid; lives as long as the index.
};

/// Looks up the workspace of an API key by its SHA-256 hash. Immutable and thread-safe.
class key_index {
public:
    explicit key_index(std::shared_ptr<const configuration> config);

    /// Takes the key itself, without the authentication scheme ("Bearer").
    key_match find(std::string_view key) const;

private:
    using digest = std::array<std::uint8_t, 32>;
    struct entry {
        digest hash{};
        const workspace_config* workspace = nullptr;
        bool withdrawn = false;
    };

    std::shared_ptr<const configuration> config_;
    std::vector<entry> entries_; ///< Sorted by hash.
};

} // namespace wagtailhatch
