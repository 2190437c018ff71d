#include "include/retry/retry_budget.h"

#include <algorithm>

namespace wagtailhatch {

retry_budget::retry_budget(retry_budget_options options)
    : options_{options}
{
}

void retry_budget::roll(steady_time now)
{
    const auto index = now.time_since_epoch() / (options_.window / static_cast<int>(slices));
    const auto passed = std::min<std::int64_t>(index - current_, static_cast<std::int64_t>(slices_.size()));
    for (std::int64_t i = 0; i < passed; ++i) {
        slices_.at(static_cast<std::size_t>((index - i) % static_cast<std::int64_t>(slices_.size()))) = {};
    }
    current_ = std::max<std::int64_t>(current_, index);
}

void retry_budget::on_request(steady_time now)
{
    roll(now);
    slices_.at(static_cast<std::size_t>(current_ % static_cast<std::int64_t>(slices_.size()))).requests += 1;
}

void retry_budget::charge(steady_time now)
{
    roll(now);
    slices_.at(static_cast<std::size_t>(current_ % static_cast<std::int64_t>(slices_.size()))).repeats += 1;
}

bool retry_budget::try_take(steady_time now, double reserve)
{
    roll(now);
    double requests = 0;
    double repeats = 0;
    for (const auto& s : slices_) {
        requests += s.requests;
        repeats += s.repeats;
    }
    const double allowed = options_.service_fraction *
                           (options_.ratio * requests + options_.slack / static_cast<double>(nodes_));
    if (repeats + 1 > allowed * (1 - reserve)) {
        return false;
    }
    slices_.at(static_cast<std::size_t>(current_ % static_cast<std::int64_t>(slices_.size()))).repeats += 1;
    return true;
}

} // namespace wagtailhatch
