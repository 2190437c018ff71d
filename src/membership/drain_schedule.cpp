#include "include/membership/drain_schedule.h"

#include <algorithm>

namespace wagtailhatch {
namespace {

using namespace std::chrono_literals;

// Readiness is polled once per second, and two failures remove the node from rotation.
constexpr duration min_drain_time = 2600ms;
// A short stop time leaves no time to wait until the callers have noticed.
constexpr double max_notice_fraction = 0.45;
// Ends one second before min_drain_time, so that the peers' calls in progress can complete.
constexpr duration peer_service_time = 1600ms;
// Fractions of the stop time after which peers are notified, and the shutdown ends.
constexpr double max_peer_service_fraction = 0.3;
constexpr double end_fraction = 0.84;

duration fraction_of(duration total, double fraction)
{
    return std::chrono::duration_cast<duration>(total * fraction);
}

} // namespace

drain_schedule::drain_schedule(duration stop_time)
    : stop_time_{stop_time}
{
}

bool drain_schedule::stops_peer_traffic(steady_time now) const
{
    return passed(now, std::min(peer_service_time, fraction_of(stop_time_, max_peer_service_fraction)));
}

bool drain_schedule::admits(steady_time now, steady_time deadline) const
{
    if (!passed(now, std::min(min_drain_time, fraction_of(stop_time_, max_notice_fraction)))) {
        return true;
    }
    return deadline <= *started_ + fraction_of(stop_time_, end_fraction);
}

bool drain_schedule::finished(steady_time now, bool idle) const
{
    return passed(now, fraction_of(stop_time_, end_fraction)) || (idle && passed(now, min_drain_time));
}

} // namespace wagtailhatch
