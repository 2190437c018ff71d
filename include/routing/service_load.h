#pragma once

#include "include/routing/load_estimate.h"
#include "include/routing/spillover.h"

#include <cstdint>
#include <span>
#include <vector>

namespace wagtailhatch {

/// One usable target of a service.
struct load_candidate {
    const load_estimate* load = nullptr;
    std::uint32_t index = 0;       ///< Of the target in the caller's list; ascending.
    std::uint32_t data_centre = 0; ///< 0: the own one.
};

/// Attributes of a request that matter for the choice of its target.
struct request_profile {
    duration target_latency{}; ///< Of the request's route; zero: unknown.
};

/// Estimated load of the usable targets of a service, computed for an instant and used for some milliseconds.
/// Samples targets in proportion to their capacity (limit divided by service time). Not thread-safe.
class service_load {
public:
    /// Computes the aggregates. data_centres: number of data centres.
    void update(std::span<const load_candidate> targets, std::size_t data_centres, steady_time now);

    /// Whether a usable report of at least one target contains a pace.
    bool known() const { return known_; }

    std::span<const data_centre_load> data_centres() const { return loads_; }
    double service_time() const { return service_.service_time; }

    /// Returns the index of a target of the data centre, at random in proportion to capacity. The data centre
    /// must have a target. unit: uniform in [0, 1).
    std::uint32_t sample(std::size_t data_centre, double unit) const;

    /// Indices of all targets of a data centre.
    std::span<const std::uint32_t> targets(std::size_t data_centre) const;

    /// Cost of sending a request to the target; lower is better: the expected time until completion relative
    /// to the request's target latency, plus the utilisation. An urgent request gets the faster target, one
    /// with more time the less utilised one.
    double cost(const load_estimate& target, std::size_t data_centre, const request_profile& request,
                steady_time now) const;

    /// Expected requests in progress at the target as a fraction of its limit.
    double utilisation(const load_estimate& target, std::size_t data_centre, steady_time now) const;

    /// Mean absolute deviation of the utilisation over the targets.
    double spread() const { return spread_; }

    /// Whether a target other than this one is believed to have a free slot. index: see load_candidate.
    bool room_beside(std::uint32_t index) const;

private:
    void update_priors(std::span<const load_candidate> targets, steady_time now);
    void update_sums(std::span<const load_candidate> targets, steady_time now);

    std::vector<std::uint32_t> indices_;   ///< Of the targets, by data centre.
    std::vector<std::size_t> first_;       ///< First position of each data centre in indices_, and the end.
    std::vector<double> capacity_;         ///< As indices_: cumulative capacity within the data centre.
    std::vector<load_prior> priors_;       ///< By data centre.
    std::vector<data_centre_load> loads_;  ///< By data centre.
    load_prior service_;                   ///< Over all data centres.
    std::vector<std::uint32_t> with_room_; ///< Ascending indices of the targets with a free slot.
    std::vector<double> utilisations_;     ///< Scratch space of update_sums().
    double spread_ = 0;
    bool known_ = false;
};

} // namespace wagtailhatch
