#include "include/membership/target_tracker.h"

#include <tuple>
#include <utility>

namespace wagtailhatch {
namespace {

using namespace std::chrono_literals;

// Announcements may be delayed by seconds on their way; later ones count as lost.
constexpr duration max_announcement_delay = 10s;

bool is_newer(const target_announcement& a, const target_announcement& b)
{
    return std::tie(a.start_time_ms, a.sequence) > std::tie(b.start_time_ms, b.sequence);
}

} // namespace

target_tracker::target_tracker(std::string service, std::string address, steady_time started)
    : service_{std::move(service)}
    , address_{std::move(address)}
    , started_{started}
{
}

bool target_tracker::same_incarnation(const target_announcement& a) const
{
    return a.id == state_.id && (start_time_ms_ == 0 || a.start_time_ms == start_time_ms_);
}

announcement_result target_tracker::on_announcement(const target_announcement& a, steady_time now)
{
    if (a.service != service_ || a.address != address_) {
        return announcement_result::foreign;
    }
    const bool same = same_incarnation(a);
    const bool announced = start_time_ms_ != 0;
    if (announced && !same && a.start_time_ms <= start_time_ms_) {
        return announcement_result::stale;
    }
    if (same && announced && a.sequence <= sequence_) {
        return announcement_result::stale;
    }
    const bool confirmed = same || a.draining || now - started_ >= max_announcement_delay;
    if (!confirmed) {
        if (!unconfirmed_ || is_newer(a, *unconfirmed_)) {
            unconfirmed_ = a;
        }
        return announcement_result::unconfirmed;
    }
    apply(a, now);
    return announcement_result::applied;
}

void target_tracker::apply(const target_announcement& a, steady_time now)
{
    const bool same = same_incarnation(a);
    const bool left = same && (state_.phase == target_phase::draining || state_.phase == target_phase::gone);
    if (!same) {
        state_.cold_until = {};
        state_.cold_reported = {};
    }
    start_time_ms_ = a.start_time_ms;
    sequence_ = a.sequence;
    state_.id = a.id;
    state_.slots = a.slots;
    record_cold_start(a.cold_left, now);
    if (!left) {
        state_.phase = a.draining ? target_phase::draining : target_phase::ready;
    }
    unconfirmed_.reset();
}

announcement_result target_tracker::on_leave(const std::string& id,
                                             std::optional<std::uint64_t> start_time_ms)
{
    const bool current =
        id == state_.id && (!start_time_ms || start_time_ms_ == 0 || *start_time_ms == start_time_ms_);
    const bool newer = start_time_ms && *start_time_ms > start_time_ms_;
    if (!state_.id.empty() && !current && !newer) {
        return announcement_result::stale;
    }
    state_.id = id;
    state_.phase = target_phase::gone;
    unconfirmed_.reset();
    if (newer) {
        state_.cold_until = {};
        state_.cold_reported = {};
        start_time_ms_ = *start_time_ms;
        sequence_ = 0;
    }
    return announcement_result::applied;
}

announcement_result target_tracker::on_leaving_response(const std::string& id)
{
    if (id != state_.id || state_.phase != target_phase::ready) {
        return announcement_result::stale;
    }
    state_.phase = target_phase::draining;
    return announcement_result::applied;
}

void target_tracker::record_cold_start(std::optional<duration> cold_left, steady_time now)
{
    if (cold_left) {
        state_.cold_until = now + *cold_left;
        state_.cold_reported = now;
    }
}

bool target_tracker::has_unconfirmed(steady_time now) const
{
    return unconfirmed_ && now - started_ < max_announcement_delay;
}

void target_tracker::on_probe(const std::string& id, std::uint32_t slots, std::optional<duration> cold_left,
                              steady_time now)
{
    // An unconfirmed announcement of another id is from an incarnation that no longer runs.
    const auto announcement = std::exchange(unconfirmed_, std::nullopt);
    if (announcement && announcement->id == id) {
        apply(*announcement, now);
    }
    if (state_.phase == target_phase::unknown) {
        state_.id = id;
        state_.slots = slots;
        state_.phase = target_phase::ready;
        record_cold_start(cold_left, now);
    }
}

} // namespace wagtailhatch
