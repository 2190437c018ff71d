#include "include/admission/target_pace.h"

#include <algorithm>
#include <cmath>

namespace wagtailhatch {
namespace {

constexpr double slow_pace = 2;
// Programs beside a target slow it down for parts of a second; only longer changes are reported.
constexpr duration slow_confirmation = std::chrono::seconds{1};
constexpr double max_pace = 100;
// A pace describes the moment of its response and no longer holds after this time.
constexpr duration pace_lifetime = std::chrono::seconds{1};
// Bounds the effect of a very small announced pace on the measured times.
constexpr double min_effective_pace = 0.01;
// The usual time follows changes of the target's work, but not a load peak of some seconds.
constexpr duration usual_lifetime = std::chrono::minutes{1};
constexpr std::size_t max_measured_routes = 1000;

bool is_valid_pace(double pace)
{
    return pace > 0 && pace <= max_pace;
}

duration seconds_to_duration(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

} // namespace

speed_change slow_target_detector::update(double pace, steady_time now)
{
    const bool slow = pace > slow_pace;
    if (slow == slow_since_.has_value()) {
        differs_since_.reset();
        return speed_change::none;
    }
    if (!differs_since_) {
        differs_since_ = now;
    }
    if (now - *differs_since_ < slow_confirmation) {
        return speed_change::none;
    }
    slow_since_ = slow ? differs_since_ : std::nullopt;
    differs_since_.reset();
    return slow ? speed_change::became_slow : speed_change::recovered;
}

void decaying_mean::add(double sample, steady_time now)
{
    const double age = weight_ > 0 ? std::max(0.0, to_seconds(now - last_)) : 0;
    const double kept = std::exp(-age / to_seconds(time_constant_));
    sum_ = sum_ * kept + sample;
    weight_ = weight_ * kept + 1;
    last_ = now;
}

void target_pace::advance(double pace, steady_time now)
{
    if (advanced_to_ == steady_time{}) {
        advanced_to_ = now;
    }
    if (now > advanced_to_) {
        usual_seconds_ += to_seconds(now - advanced_to_) / std::max(pace, min_effective_pace);
        advanced_to_ = now;
    }
}

bool target_pace::on_pace(std::optional<double> announced, steady_time now)
{
    if (!announced) {
        return true;
    }
    if (!is_valid_pace(*announced)) {
        return false;
    }
    // A response tells the pace at which the work before it was done.
    advance(*announced, now);
    announced_ = *announced;
    announced_at_ = now;
    if (announced_ > 1) {
        last_above_usual_ = now;
    }
    return true;
}

target_pace::sent_request target_pace::on_sent(steady_time now)
{
    const double current = pace(now);
    advance(current > 0 ? current : 1, now);
    return {now, usual_seconds_, current > 1, incarnation_};
}

void target_pace::on_response(std::string_view route, const sent_request& request, steady_time now)
{
    const double current = pace(now);
    if (request.incarnation != incarnation_ || current <= 0) {
        return;
    }
    advance(current, now);
    const double seconds = usual_seconds_ - request.usual_seconds;
    if (seconds <= 0) {
        return;
    }
    auto known = usual_.find(route);
    const bool slowed = request.slower_than_usual || (last_above_usual_ && *last_above_usual_ >= request.at);
    if (!slowed) {
        if (known == usual_.end()) {
            if (usual_.size() >= max_measured_routes) {
                usual_.clear();
            }
            known = usual_.emplace(std::string{route}, decaying_mean{usual_lifetime}).first;
        }
        known->second.add(seconds, now);
    }
    const double usual = known == usual_.end() ? seconds : known->second.value();
    mix_.add(usual, now);
    deviation_.add(seconds / usual, now);
}

double target_pace::pace(steady_time now) const
{
    return announced_ > 0 && now - announced_at_ < pace_lifetime ? announced_ : 0;
}

duration target_pace::service_time(steady_time now) const
{
    return seconds_to_duration(mix_.value() * deviation_.value() * pace(now));
}

duration target_pace::expected_time(std::string_view route, steady_time now) const
{
    const auto known = usual_.find(route);
    return known == usual_.end()
               ? service_time(now)
               : seconds_to_duration(known->second.value() * deviation_.value() * pace(now));
}

duration target_pace::usual_time(std::string_view route) const
{
    const auto known = usual_.find(route);
    return known == usual_.end() ? duration{} : seconds_to_duration(known->second.value());
}

speed_change target_pace::reset()
{
    const bool slow = slow_since().has_value();
    const auto next = incarnation_ + 1;
    *this = target_pace{};
    incarnation_ = next;
    return slow ? speed_change::recovered : speed_change::none;
}

} // namespace wagtailhatch
