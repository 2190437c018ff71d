#pragma once

#include "include/core/clock.h"

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace wagtailhatch {

/// Load of all usable targets of a service in one data centre.
struct data_centre_load {
    double in_progress = 0; ///< Requests in progress and queued.
    double limit = 0;       ///< Sum of the concurrency limits; 0: no usable target.
};

struct spillover_options {
    /// Utilisation of the own data centre up to which no request leaves it.
    double threshold = 0.8;
    /// Minimum advantage in utilisation of another data centre, because of the traffic between them.
    double margin = 0.05;
    /// Time constant of a change. It covers several round trips of cause (a request that leaves) and effect
    /// (a report that shows it): decisions on reports that lack the effects of the previous ones oscillate.
    duration smoothing = std::chrono::milliseconds{250};
};

/// Decides which share of a service's requests leaves the own data centre and where to, by the load of whole
/// data centres. All senders of a data centre see about the same load and so decide alike. Not thread-safe.
class spillover {
public:
    explicit spillover(const spillover_options& options)
        : options_{options}
    {
    }

    /// Sets the data centres that have targets; the own one is first. Shares of those that stay are kept.
    void set_data_centres(std::vector<std::string> names);

    /// loads: of each data centre, in the order of set_data_centres(). service_time: seconds, of a request.
    void update(std::span<const data_centre_load> loads, double service_time, steady_time now);

    /// Share of the requests that leaves the own data centre, from 0 to 1.
    double leaving() const;

    /// Index of the data centre for a further attempt of a request: the least utilised one if the own one is
    /// above the threshold and the advantage above the margin, else the own one. loads: as in update().
    std::size_t choose_for_retry(std::span<const data_centre_load> loads) const;

    /// Index of the data centre of a request. unit: random, uniform in [0, 1).
    std::size_t choose(double unit) const;

    std::size_t size() const { return names_.size(); }

private:
    spillover_options options_;
    std::vector<std::string> names_;
    std::vector<double> shares_; ///< Smoothed share of each data centre; that of the own one is unused.
    steady_time updated_{};
};

/// Returns the share of the own demand that each data centre should get (the first one: the own) so that the
/// own data centre is at most at the threshold or, if that is not possible, all that take part are equally
/// full. shares: shares in force, whose effect the loads contain.
std::vector<double> split_demand(std::span<const data_centre_load> loads, std::span<const double> shares,
                                 const spillover_options& options);

} // namespace wagtailhatch
