#pragma once

#include "include/core/result.h"

#include <string>
#include <string_view>

namespace wagtailhatch {

/// Generates a random key: "whk_" and 64 hexadecimal digits (256 bits). Fails with errc::unavailable if the
/// system's random number generator fails.
result<std::string> make_key();

/// Returns the text of the base file with a key hash added to a workspace. All other text, including
/// comments, is preserved. Fails with errc::invalid_argument and the reason.
result<std::string> add_key(const std::string& file, std::string_view text, const std::string& workspace,
                            const std::string& sha256);

/// Result of withdraw_key().
struct withdrawn_key {
    std::string text; ///< Of the edited base file.
    std::string workspace;
    std::string sha256;
};

/// Returns the text of the base file with the key whose hash starts with prefix marked as withdrawn. Fails
/// with errc::invalid_argument and the reason, for example if prefix has fewer than 8 digits, if not exactly
/// one key matches or if the key is withdrawn already.
result<withdrawn_key> withdraw_key(const std::string& file, std::string_view text, std::string_view prefix);

} // namespace wagtailhatch
