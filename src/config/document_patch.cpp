#include "include/config/config_state.h"

#include <algorithm>

namespace wagtailhatch {
namespace {

/// A patch travels as JSON text in change records, so that it must not begin or end inside a character.
bool inside_character(std::string_view text, std::size_t at)
{
    return at < text.size() && (static_cast<unsigned char>(text[at]) & 0xc0) == 0x80;
}

} // namespace

document_patch make_patch(const std::string& name, std::string_view before, std::string_view after)
{
    const auto shorter = std::min(before.size(), after.size());
    const auto first =
        std::mismatch(before.begin(), before.begin() + static_cast<std::ptrdiff_t>(shorter), after.begin());
    auto prefix = static_cast<std::size_t>(first.first - before.begin());
    while (prefix > 0 && (inside_character(before, prefix) || inside_character(after, prefix))) {
        --prefix;
    }
    std::size_t suffix = 0;
    while (suffix < shorter - prefix &&
           before[before.size() - suffix - 1] == after[after.size() - suffix - 1]) {
        ++suffix;
    }
    while (suffix > 0 && inside_character(after, after.size() - suffix)) {
        --suffix;
    }
    return {name, prefix, suffix, std::string{after.substr(prefix, after.size() - prefix - suffix)}};
}

bool apply_patch(std::string& text, const document_patch& patch)
{
    if (patch.prefix > text.size() || patch.suffix > text.size() - patch.prefix) {
        return false;
    }
    text.replace(patch.prefix, text.size() - patch.prefix - patch.suffix, patch.middle);
    return true;
}

std::vector<document_patch> make_patches(const document_set& before, const document_set& after)
{
    std::vector<document_patch> patches;
    for (const auto& [name, text] : after) {
        const auto old = before.find(name);
        if (old == before.end()) {
            patches.push_back({name, 0, 0, text});
        }
        else if (old->second != text) {
            patches.push_back(make_patch(name, old->second, text));
        }
    }
    return patches;
}

} // namespace wagtailhatch
