#include "include/store/store_era.h"

namespace wagtailhatch {

void store_era::record(std::uint64_t era)
{
    if (era > newest_) {
        on_change_(era, std::exchange(newest_, era));
    }
}

} // namespace wagtailhatch
