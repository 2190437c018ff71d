#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace wagtailhatch {

/// Encodes as RFC 4648 base64 with padding.
std::string encode_base64(std::string_view bytes);

/// Decodes padded base64; nothing if the text is invalid.
std::optional<std::string> decode_base64(std::string_view text);

} // namespace wagtailhatch
