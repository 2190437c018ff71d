#include "include/membership/drain_schedule.h"

#include <algorithm>

namespace wagtailhatch {
namespace {

using namespace std::chrono_literals;

// Readiness is polled once per second, and two failures remove the node from rotation.
constexpr duration least_drain_time = 2600ms;
// Leaves one second before the earliest end to the calls of peers that are then in progress.
constexpr duration peer_service_time = 1600ms;
// Fractions of the stop time after which peers are notified, callers are refused, and the shutdown ends.
constexpr double longest_peer_service = 0.3;
constexpr double refuse_part = 0.6;
constexpr double end_part = 0.84;

duration part_of(duration whole, double part)
{
    return std::chrono::duration_cast<duration>(whole * part);
}

} // namespace

drain_schedule::drain_schedule(duration stop_time)
    : stop_time_{stop_time}
{
}

bool drain_schedule::leaves_peers(steady_time now) const
{
    return passed(now, std::min(peer_service_time, part_of(stop_time_, longest_peer_service)));
}

bool drain_schedule::refuses(steady_time now) const
{
    return passed(now, part_of(stop_time_, refuse_part));
}

bool drain_schedule::over(steady_time now, bool quiet) const
{
    return passed(now, part_of(stop_time_, end_part)) || (quiet && passed(now, least_drain_time));
}

} // namespace wagtailhatch
