#include "include/routing/weighted_split.h"

namespace wagtailhatch {

weighted_split::weighted_split(const std::vector<weighted_service>& services)
{
    for (const auto& s : services) {
        parts_.push_back({s.service, s.weight, 0});
        total_ += s.weight;
    }
}

const std::string& weighted_split::next()
{
    auto* best = &parts_.front();
    for (auto& p : parts_) {
        p.credit += p.weight;
        if (p.credit > best->credit) {
            best = &p;
        }
    }
    best->credit -= total_;
    return best->service;
}

} // namespace wagtailhatch
