#pragma once

#include <algorithm>
#include <iterator>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace wagtailhatch {

/// Regions in which a request may be processed; nothing: any. An empty set allows none.
using allowed_regions = std::optional<std::set<std::string, std::less<>>>;

/// Regions that both sets allow.
inline allowed_regions intersect(const allowed_regions& a, const allowed_regions& b)
{
    if (!a || !b) {
        return a ? a : b;
    }
    allowed_regions both{std::in_place};
    std::set_intersection(a->begin(), a->end(), b->begin(), b->end(), std::inserter(*both, both->end()));
    return both;
}

/// Whether a region is allowed. An empty name stands for an unknown region, which only "any" allows.
inline bool allows(const allowed_regions& regions, std::string_view region)
{
    return !regions || (!region.empty() && regions->find(region) != regions->end());
}

} // namespace wagtailhatch
