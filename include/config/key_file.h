#pragma once

#include "include/core/result.h"

#include <string>
#include <string_view>

namespace wagtailhatch {

/// A new random key: "whk_" and 64 hexadecimal digits (256 bits). Fails if the system has no randomness.
result<std::string> make_key();

/// The base file's text with one more key hash in a workspace. Everything else, comments included, stays as
/// it is. Fails with errc::invalid_argument and the reason.
result<std::string> add_key(const std::string& file, std::string_view text, const std::string& workspace,
                            const std::string& sha256);

struct withdrawn_key {
    std::string text;
    std::string workspace;
    std::string sha256;
};

/// The base file's text with the one key whose hash starts with prefix marked as withdrawn.
result<withdrawn_key> withdraw_key(const std::string& file, std::string_view text, std::string_view prefix);

} // namespace wagtailhatch
