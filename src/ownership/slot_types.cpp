#include "include/ownership/slot_types.h"

#include <xxhash.h>

namespace wagtailhatch {

std::uint32_t slot_of(std::string_view key, std::uint32_t slots)
{
    return slots == 0 ? 0 : static_cast<std::uint32_t>(XXH64(key.data(), key.size(), 0) % slots);
}

std::uint64_t rendezvous_weight(std::string_view name, std::string_view candidate)
{
    return XXH64(candidate.data(), candidate.size(), XXH64(name.data(), name.size(), 0));
}

} // namespace wagtailhatch
