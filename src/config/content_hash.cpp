#include "include/config/config_documents.h"

#include <openssl/sha.h>

#include <array>

namespace wagtailhatch {

std::string content_hash(std::string_view text)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::array<unsigned char, SHA256_DIGEST_LENGTH> hash{};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), hash.data());
    std::string hex;
    hex.reserve(2 * hash.size());
    for (const auto byte : hash) {
        hex += digits[byte >> 4];
        hex += digits[byte & 15];
    }
    return hex;
}

} // namespace wagtailhatch
