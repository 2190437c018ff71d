#include "include/retry/rejection_estimator.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace wagtailhatch {
namespace {

// A smaller share costs chains so few of their calls that retries are not scarce.
constexpr double min_share = 0.03;
// Keeps the evidence of the end finite while everything is rejected.
constexpr double max_share = 0.98;
constexpr std::size_t max_targets = 2000;

} // namespace

rejection_estimator::rejection_estimator(rejection_estimator_options options)
    : options_{options}
{
}

void rejection_estimator::push(bool rejected, steady_time now)
{
    arrivals_.push_back({now, rejected});
    rejected_ += rejected ? 1 : 0;
    accepted_run_ = rejected ? 0 : accepted_run_ + 1;
    last_rejection_ = rejected ? now : last_rejection_;
}

void rejection_estimator::pop()
{
    rejected_ -= arrivals_.front().rejected ? 1 : 0;
    arrivals_.pop_front();
}

void rejection_estimator::clear()
{
    arrivals_.clear();
    targets_.clear();
    rejected_ = 0;
    accepted_run_ = 0;
    rejecting_ = false;
}

void rejection_estimator::drop_old(steady_time now)
{
    while (!arrivals_.empty()) {
        const auto age = now - arrivals_.front().at;
        const bool rare = arrivals_.size() <= options_.min_arrivals;
        const bool old = age > (rare ? options_.max_rare_age : options_.max_age);
        const bool surplus = arrivals_.size() > options_.max_arrivals && age > options_.min_age;
        if (!old && !surplus) {
            break;
        }
        pop();
    }
    // Until the rejections begin, accepted arrivals before the first rejection only dilute the share.
    while (!rejecting_ && !arrivals_.empty() && !arrivals_.front().rejected) {
        pop();
    }
}

void rejection_estimator::record_target(std::string_view target, bool rejected, steady_time now)
{
    auto found = targets_.find(target);
    if (found == targets_.end()) {
        if (targets_.size() >= max_targets) {
            targets_.clear();
        }
        found = targets_.emplace(std::string{target}, target_record{}).first;
    }
    found->second.used = now;
    if (rejected) {
        found->second.rejected = now;
    }
}

bool rejection_estimator::most_targets_reject(steady_time now) const
{
    std::size_t used = 0;
    std::size_t rejecting = 0;
    for (const auto& [id, record] : targets_) {
        used += now - record.used <= options_.target_memory ? 1 : 0;
        rejecting += now - record.rejected <= options_.target_memory ? 1 : 0;
    }
    return rejecting * 2 > used;
}

bool rejection_estimator::rejections_ended(steady_time now) const
{
    const auto before = arrivals_.size() - std::min(accepted_run_, arrivals_.size());
    if (before == 0) {
        return true;
    }
    const double share = std::min(static_cast<double>(rejected_) / static_cast<double>(before), max_share);
    const bool improbable = -std::log1p(-share) * static_cast<double>(accepted_run_) > options_.end_evidence;
    return (improbable && now - last_rejection_ >= options_.end_duration) ||
           static_cast<double>(rejected_) < min_share * static_cast<double>(arrivals_.size());
}

void rejection_estimator::on_arrival(std::string_view target, bool rejected, steady_time now)
{
    record_target(target, rejected, now);
    push(rejected, now);
    drop_old(now);
    if (rejecting_) {
        if (rejections_ended(now)) {
            clear();
        }
        return;
    }
    rejecting_ = rejected && rejected_ >= options_.rejections_to_begin && most_targets_reject(now);
}

bool rejection_estimator::rejecting(steady_time now)
{
    if (!rejecting_) {
        return false;
    }
    drop_old(now);
    if (arrivals_.empty()) {
        clear();
    }
    return rejecting_;
}

double rejection_estimator::share(steady_time now)
{
    return rejecting(now) ? static_cast<double>(rejected_) / static_cast<double>(arrivals_.size()) : 0;
}

} // namespace wagtailhatch
