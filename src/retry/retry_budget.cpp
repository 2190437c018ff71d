#include "include/retry/retry_budget.h"

#include <algorithm>
#include <numeric>

namespace wagtailhatch {

retry_budget::retry_budget(retry_budget_options options)
    : options_{options}
{
}

void retry_budget::slice_history::roll(std::int64_t index)
{
    const auto passed = std::min<std::int64_t>(index - current_, static_cast<std::int64_t>(slices_.size()));
    current_ = std::max(current_, index);
    for (int age = 0; age < passed; ++age) {
        at(age) = {};
    }
}

retry_budget::slice& retry_budget::slice_history::at(int age)
{
    return slices_.at(position(age));
}

const retry_budget::slice& retry_budget::slice_history::at(int age) const
{
    return slices_.at(position(age));
}

std::size_t retry_budget::slice_history::position(int age) const
{
    // The index is negative for slices before the start of the clock.
    const auto size = static_cast<std::int64_t>(slices_.size());
    return static_cast<std::size_t>(((current_ - age) % size + size) % size);
}

void retry_budget::roll(steady_time now)
{
    const auto index = now.time_since_epoch() / (options_.window / static_cast<int>(slices));
    const auto passed = std::min<std::int64_t>(index - current_, static_cast<std::int64_t>(slices_.size()));
    for (std::int64_t i = 0; i < passed; ++i) {
        slices_.at(static_cast<std::size_t>((index - i) % static_cast<std::int64_t>(slices_.size()))) = {};
    }
    current_ = std::max<std::int64_t>(current_, index);
    history_.roll(now.time_since_epoch() / (options_.window / history_slices));
}

void retry_budget::on_request(steady_time now)
{
    roll(now);
    slices_.at(static_cast<std::size_t>(current_ % static_cast<std::int64_t>(slices_.size()))).requests += 1;
    history_.at(0).requests += 1;
}

void retry_budget::charge(steady_time now)
{
    roll(now);
    add_repeat();
}

void retry_budget::add_repeat()
{
    slices_.at(static_cast<std::size_t>(current_ % static_cast<std::int64_t>(slices_.size()))).repeats += 1;
    history_.at(0).repeats += 1;
}

double retry_budget::allowed(double requests) const
{
    return options_.service_fraction *
           (options_.ratio * requests + options_.slack / static_cast<double>(nodes_));
}

retry_budget::usage retry_budget::own_window() const
{
    double requests = 0;
    double repeats = 0;
    for (const auto& s : slices_) {
        requests += s.requests;
        repeats += s.repeats;
    }
    return {repeats, allowed(requests)};
}

std::vector<retry_budget::usage> retry_budget::windows_with_references() const
{
    constexpr int window = history_slices;
    constexpr int oldest = 2 * window;
    // Entry i: sums over the slices with ages from i on.
    std::array<slice, oldest + 2> from_age{};
    for (std::size_t age = oldest + 1; age-- > 0;) {
        const auto& s = history_.at(static_cast<int>(age));
        const auto& older = from_age.at(age + 1);
        from_age.at(age) = {older.requests + s.requests, older.repeats + s.repeats};
    }
    // Sums of the slices with ages from `newest` to `last`; those of the future are empty.
    const auto sum = [&](int newest, int last, double slice::*member) {
        const auto begin = static_cast<std::size_t>(std::clamp(newest, 0, oldest + 1));
        const auto end = static_cast<std::size_t>(std::clamp(last + 1, 0, oldest + 1));
        return begin < end ? from_age.at(begin).*member - from_age.at(end).*member : 0.0;
    };
    std::vector<usage> result;
    result.reserve(window + 1);
    // A window that ends `ahead` slices from now begins within the slice of age `window - ahead`. That
    // slice's repeats count in full and its requests not at all.
    for (int ahead = 0; ahead <= window; ++ahead) {
        const auto requests_before = [&](int shift) {
            return sum(shift + (shift > 0 ? 1 : 0) - ahead, shift + window - 1 - ahead, &slice::requests);
        };
        const double most =
            std::max({requests_before(0), requests_before(window / 2), requests_before(window)});
        result.push_back({sum(-ahead, window - ahead, &slice::repeats), allowed(most)});
    }
    return result;
}

std::vector<retry_budget::usage> retry_budget::usages() const
{
    return reference_windows_ ? windows_with_references() : std::vector<usage>{own_window()};
}

bool retry_budget::try_take(steady_time now, double reserve)
{
    roll(now);
    const auto windows = usages();
    if (std::any_of(windows.begin(), windows.end(),
                    [&](const usage& w) { return w.repeats + 1 > w.allowed * (1 - reserve); })) {
        return false;
    }
    add_repeat();
    return true;
}

retry_allowance retry_budget::allowance(steady_time now)
{
    roll(now);
    const auto windows = usages();
    const double whole = windows.front().allowed;
    if (whole <= 0) {
        return {};
    }
    const double left =
        std::accumulate(windows.begin(), windows.end(), whole,
                        [](double least, const usage& w) { return std::min(least, w.allowed - w.repeats); });
    return {whole / to_seconds(options_.window), std::clamp(left / whole, 0.0, 1.0)};
}

} // namespace wagtailhatch
