#include "src/core/base64.h"

#include <openssl/evp.h>

#include <vector>

namespace wagtailhatch {
namespace {

constexpr std::size_t bytes_per_group = 3;
constexpr std::size_t characters_per_group = 4;

} // namespace

std::string encode_base64(std::string_view bytes)
{
    std::vector<unsigned char> out(
        (bytes.size() + bytes_per_group - 1) / bytes_per_group * characters_per_group + 1);
    const int size = EVP_EncodeBlock(out.data(), reinterpret_cast<const unsigned char*>(bytes.data()),
                                     static_cast<int>(bytes.size()));
    return {reinterpret_cast<const char*>(out.data()), static_cast<std::size_t>(size)};
}

std::optional<std::string> decode_base64(std::string_view text)
{
    if (text.size() % characters_per_group != 0) {
        return std::nullopt;
    }
    std::vector<unsigned char> out(text.size() / characters_per_group * bytes_per_group + 1);
    const int size = EVP_DecodeBlock(out.data(), reinterpret_cast<const unsigned char*>(text.data()),
                                     static_cast<int>(text.size()));
    if (size < 0) {
        return std::nullopt;
    }
    std::size_t padding = 0;
    while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=') {
        ++padding;
    }
    return std::string{reinterpret_cast<const char*>(out.data()), static_cast<std::size_t>(size) - padding};
}

} // namespace wagtailhatch
