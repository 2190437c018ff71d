#include "include/routing/service_load.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace wagtailhatch {
namespace {

// Standard deviation of the requests in progress around their estimate, relative to that of a Poisson
// process.
constexpr double relative_deviation = 0.6;
constexpr double default_target_latency = 1; // Seconds.

/// Sums of the reports that are still meaningful.
struct report_sums {
    double load = 0;
    double limit = 0;
};

} // namespace

void service_load::update(std::span<const load_candidate> targets, std::size_t data_centres, steady_time now)
{
    known_ = std::any_of(targets.begin(), targets.end(),
                         [now](const load_candidate& c) { return c.load->has_pace(now); });
    if (!known_) {
        return;
    }
    first_.assign(data_centres + 1, 0);
    for (const auto& c : targets) {
        ++first_[c.data_centre + 1];
    }
    std::partial_sum(first_.begin(), first_.end(), first_.begin());
    update_priors(targets, now);
    update_sums(targets, now);
}

void service_load::update_priors(std::span<const load_candidate> targets, steady_time now)
{
    double limits = 0;
    double with_limit = 0;
    double times = 0;
    double with_time = 0;
    const load_prior defaults;
    for (const auto& c : targets) {
        limits += c.load->knows_limit() ? c.load->limit(defaults) : 0;
        with_limit += c.load->knows_limit() ? 1 : 0;
        times += c.load->knows_service_time() ? c.load->service_time(defaults) : 0;
        with_time += c.load->knows_service_time() ? 1 : 0;
    }
    service_.limit = with_limit > 0 ? limits / with_limit : defaults.limit;
    service_.service_time = with_time > 0 ? times / with_time : defaults.service_time;
    std::vector<report_sums> sums(first_.size() - 1);
    report_sums all;
    for (const auto& c : targets) {
        const double weight = c.load->report_weight(now, service_);
        const report_sums one{weight * c.load->reported_load(), weight * c.load->limit(service_)};
        sums[c.data_centre].load += one.load;
        sums[c.data_centre].limit += one.limit;
        all.load += one.load;
        all.limit += one.limit;
    }
    // The last mean counts as one old report, so that it stays in use while no report is recent.
    service_.utilisation = (all.load + service_.utilisation * service_.limit) / (all.limit + service_.limit);
    priors_.assign(sums.size(), service_);
    for (std::size_t d = 0; d < sums.size(); ++d) {
        priors_[d].utilisation =
            (sums[d].load + service_.utilisation * service_.limit) / (sums[d].limit + service_.limit);
    }
}

void service_load::update_sums(std::span<const load_candidate> targets, steady_time now)
{
    loads_.assign(priors_.size(), {});
    indices_.resize(targets.size());
    capacity_.resize(targets.size());
    utilisations_.clear();
    with_room_.clear();
    auto next = first_;
    double sum = 0;
    for (const auto& c : targets) {
        const auto& prior = priors_[c.data_centre];
        auto& all = loads_[c.data_centre];
        const double limit = c.load->limit(prior);
        const double in_progress = c.load->in_progress(now, prior);
        all.in_progress += in_progress;
        all.limit += limit;
        const auto position = next[c.data_centre]++;
        const double before = position > first_[c.data_centre] ? capacity_[position - 1] : 0;
        indices_[position] = c.index;
        capacity_[position] = before + limit / c.load->service_time(prior);
        utilisations_.push_back(in_progress / limit);
        sum += utilisations_.back();
        if (in_progress + 1 <= limit) {
            with_room_.push_back(c.index);
        }
    }
    const auto count = static_cast<double>(targets.size());
    spread_ = 0;
    for (const auto u : utilisations_) {
        spread_ += std::abs(u - sum / count) / count;
    }
}

std::span<const std::uint32_t> service_load::targets(std::size_t data_centre) const
{
    return std::span{indices_}.subspan(first_[data_centre], first_[data_centre + 1] - first_[data_centre]);
}

std::uint32_t service_load::sample(std::size_t data_centre, double unit) const
{
    const auto first = capacity_.begin() + static_cast<std::ptrdiff_t>(first_[data_centre]);
    const auto last = capacity_.begin() + static_cast<std::ptrdiff_t>(first_[data_centre + 1]);
    const auto found = std::min(std::upper_bound(first, last, unit * *(last - 1)), last - 1);
    return indices_[static_cast<std::size_t>(found - capacity_.begin())];
}

double service_load::cost(const load_estimate& target, std::size_t data_centre,
                          const request_profile& request, steady_time now) const
{
    const auto& prior = priors_[data_centre];
    const double limit = target.limit(prior);
    const double in_progress = target.in_progress(now, prior);
    const double service_time = target.service_time(prior);
    // The requests in progress are taken as logistically distributed around their estimate.
    const double width = relative_deviation * std::sqrt(std::max(1.0, std::min(in_progress, limit)));
    const double excess = (in_progress + 1 - limit) / width;
    const double ahead = width * (std::max(excess, 0.0) + std::log1p(std::exp(-std::abs(excess))));
    const double completion = service_time * (1 + ahead / limit);
    const double latency =
        request.target_latency > duration{} ? to_seconds(request.target_latency) : default_target_latency;
    return completion / latency + in_progress / limit;
}

double service_load::utilisation(const load_estimate& target, std::size_t data_centre, steady_time now) const
{
    const auto& prior = priors_[data_centre];
    return target.in_progress(now, prior) / target.limit(prior);
}

bool service_load::room_beside(std::uint32_t index) const
{
    const bool itself = std::binary_search(with_room_.begin(), with_room_.end(), index);
    return known_ && with_room_.size() > (itself ? 1U : 0U);
}

} // namespace wagtailhatch
