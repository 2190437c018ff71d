#include "include/config/key_index.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <algorithm>
#include <cstddef>
#include <string>
#include <utility>

namespace wagtailhatch {
namespace {

constexpr std::size_t max_key_size = 512; ///< Bytes.

std::uint8_t hex_value(char c)
{
    return static_cast<std::uint8_t>(c <= '9' ? c - '0' : c - 'a' + 10);
}

} // namespace

key_index::key_index(std::shared_ptr<const configuration> config)
    : config_{std::move(config)}
{
    for (const auto& [name, workspace] : config_->workspaces) {
        for (const auto& key : workspace.keys) {
            entry e;
            for (std::size_t i = 0; i < e.hash.size(); ++i) {
                e.hash.at(i) = static_cast<std::uint8_t>(hex_value(key.sha256.at(2 * i)) << 4 |
                                                         hex_value(key.sha256.at(2 * i + 1)));
            }
            e.workspace = &workspace;
            e.withdrawn = key.withdrawn;
            entries_.push_back(e);
        }
    }
    std::sort(entries_.begin(), entries_.end(),
              [](const entry& a, const entry& b) { return a.hash < b.hash; });
}

key_match key_index::find(std::string_view key) const
{
    if (key.empty() || key.size() > max_key_size) {
        return {key.empty() ? key_status::missing : key_status::unknown, nullptr};
    }
    digest presented{};
    SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(), presented.data());
    // The search time depends on the hash of the presented key, which a caller cannot choose such that the
    // timing reveals stored keys. The final comparison is constant-time nevertheless.
    const auto found = std::lower_bound(entries_.begin(), entries_.end(), presented,
                                        [](const entry& e, const digest& wanted) { return e.hash < wanted; });
    if (found == entries_.end() ||
        CRYPTO_memcmp(found->hash.data(), presented.data(), presented.size()) != 0) {
        return {key_status::unknown, nullptr};
    }
    return found->withdrawn ? key_match{key_status::withdrawn, nullptr}
                            : key_match{key_status::valid, found->workspace};
}

} // namespace wagtailhatch
