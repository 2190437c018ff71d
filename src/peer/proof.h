#pragma once

#include <array>
#include <cstddef>
#include <string_view>

namespace wagtailhatch {

constexpr std::size_t proof_size = 32;
constexpr std::size_t min_secret_size = 16;

/// HMAC-SHA256 of a message.
using proof = std::array<unsigned char, proof_size>;

/// HMAC-SHA256 of the parts, one after the other.
proof make_proof(std::string_view key, std::string_view first, std::string_view second = {});

/// Key for one purpose, derived from the shared secret.
inline proof derive_key(std::string_view secret, std::string_view purpose)
{
    return make_proof(secret, purpose);
}

inline std::string_view as_view(const proof& p)
{
    return {reinterpret_cast<const char*>(p.data()), p.size()};
}

/// Comparison in constant time.
bool equal_proof(std::string_view a, std::string_view b);

} // namespace wagtailhatch
