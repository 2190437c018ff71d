#include "include/admission/admission_controller.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace wagtailhatch {
namespace {

// Weight of one request in the exponential moving average of the latency.
constexpr double latency_smoothing = 0.05;
constexpr std::size_t min_queue_bound = 16;
constexpr duration sweep_interval = std::chrono::milliseconds{5};
constexpr duration min_retry_after = std::chrono::milliseconds{100};
constexpr duration max_target_wait = std::chrono::milliseconds{500};
// A queued request must have at least this multiple of the mean latency left until its deadline. With 0.5, 3%
// of the slots of a slow service went to requests that missed their deadline.
constexpr double required_latency_factor = 1.0;
// The queue's target wait is this multiple of the mean latency, so that the queue of a slow target does not
// run empty.
constexpr double target_wait_latency_factor = 0.25;
// Latency assumed for a cold target that has not answered yet. Without it, the target would be reported with
// all of its slots free and would attract the requests of all senders.
constexpr double assumed_cold_latency = 0.1;
// A request waits for a cold target for at most this part of the time until its deadline, or for the next
// request that the rate admits. Later requests of more important classes would use up the rate, and a request
// must be refused early.
constexpr int cold_wait_divisor = 8;

duration from_seconds(double s)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(s));
}

/// Why every request is refused in this state; none if requests are admitted.
refusal_reason refusal_in(admission_state state)
{
    switch (state) {
    case admission_state::down:
        return refusal_reason::no_target;
    case admission_state::draining:
        return refusal_reason::leaving;
    case admission_state::evacuated:
        return refusal_reason::evacuated;
    case admission_state::cold:
    case admission_state::ready:
        break;
    }
    return refusal_reason::none;
}

} // namespace

admission_controller::admission_controller(const admission_options& options)
    : options_{options}
    , limit_{options.limit}
    , queue_{options.queue}
    , shedding_{options.shedding}
{
}

std::uint32_t admission_controller::limit() const
{
    return limit_.limit();
}

std::size_t admission_controller::queue_bound() const
{
    return std::max<std::size_t>(min_queue_bound, limit());
}

bool admission_controller::may_start(steady_time now)
{
    return running_.size() < limit() && cold_.time_until_room(now) <= duration{} && rate_.available(now);
}

void admission_controller::update_rate(steady_time now)
{
    auto joined = cold_.rate(now);
    if (named_rate_ && (!joined || *named_rate_ < *joined)) {
        joined = named_rate_;
    }
    if (joined != enforced_rate_) {
        enforced_rate_ = joined;
        rate_.set(joined, now);
    }
}

duration admission_controller::estimate_wait(importance level, bool late, steady_time now)
{
    if (may_start(now)) {
        return {};
    }
    const std::size_t ahead = 1 + queue_.size_ahead(level, late);
    const auto for_rate = std::max(rate_.time_until_sent(ahead, now), cold_.time_until_room(now));
    if (running_.size() < limit()) {
        return for_rate;
    }
    return std::max(for_rate, from_seconds(static_cast<double>(ahead) * mean_latency_ / limit()));
}

double admission_controller::capacity() const
{
    const double by_slots = mean_latency_ > 0 ? limit() / mean_latency_ : 0;
    if (!rate_.limited()) {
        return by_slots;
    }
    return by_slots > 0 ? std::min(by_slots, *rate_.per_second()) : *rate_.per_second();
}

std::uint32_t admission_controller::reported_limit(steady_time now) const
{
    const double unmeasured = cold_.rate(now) ? assumed_cold_latency : 0;
    const double latency = mean_latency_ > 0 ? mean_latency_ : unmeasured;
    if (!rate_.limited() || latency <= 0) {
        return limit();
    }
    // At its named rate the target holds this many requests on average, so senders compare it by that number.
    const double in_flight = std::max(1.0, *rate_.per_second() * latency);
    return static_cast<std::uint32_t>(std::min<double>(limit(), in_flight));
}

admission_decision admission_controller::refuse(refusal_reason reason, steady_time now)
{
    return {admission_decision::kind::refused, reason,
            std::max(min_retry_after, estimate_wait(importance::low, true, now))};
}

admission_decision admission_controller::submit(const admission_request& request, steady_time now)
{
    if (const auto reason = refusal_in(state_); reason != refusal_reason::none) {
        return refuse(reason, now);
    }
    if (request.deadline <= now) {
        return refuse(refusal_reason::deadline, now);
    }
    update_rate(now);
    shedding_.on_arrival(request.level);
    if (may_start(now) && queue_.size() == 0) {
        start(request.id, now);
        return {admission_decision::kind::start, refusal_reason::none, {}};
    }
    if (!options_.queueing) {
        return refuse(refusal_reason::overload, now);
    }
    return enqueue(request, now);
}

admission_decision admission_controller::enqueue(const admission_request& request, steady_time now)
{
    const auto service_time = request.service_time > duration{}
                                  ? request.service_time
                                  : from_seconds(mean_latency_ * required_latency_factor);
    const bool late = request.soft_deadline != steady_time{} &&
                      now + estimate_wait(request.level, false, now) + service_time > request.soft_deadline;
    const auto wait = estimate_wait(request.level, late, now);
    if (const auto rate = cold_.rate(now)) {
        const auto next = from_seconds(1 / *rate);
        if (wait > std::max((request.deadline - now) / cold_wait_divisor, next)) {
            return refuse(refusal_reason::overload, now);
        }
    }
    const auto needed = wait + service_time;
    if (options_.deadline_aware && now + needed > request.deadline) {
        return refuse(refusal_reason::overload, now);
    }
    if (queue_.size() >= queue_bound()) {
        const auto victim = queue_.evict_for(request.level, request.workspace, late);
        if (!victim) {
            return refuse(refusal_reason::overload, now);
        }
        pending_.refuse.push_back({victim->id, refusal_reason::overload});
    }
    queue_.push({request.id, request.level, request.deadline, now, request.soft_deadline,
                 options_.deadline_aware ? request.service_time : duration{}, late},
                request.workspace);
    return {admission_decision::kind::queued, refusal_reason::none, {}};
}

void admission_controller::start(std::uint64_t id, steady_time now)
{
    [[maybe_unused]] const bool fresh = running_.emplace(id, running{now}).second;
    assert(fresh && "request ids must be unique");
    rate_.take(now);
    cold_.on_start(now);
}

void admission_controller::finish(std::uint64_t id, duration own_latency, bool success, steady_time now)
{
    const auto it = running_.find(id);
    if (it == running_.end()) {
        return;
    }
    const double total = std::chrono::duration<double>(now - it->second.started).count();
    mean_latency_ = mean_latency_ <= 0 ? total : mean_latency_ + (total - mean_latency_) * latency_smoothing;
    limit_.on_finish(now, own_latency, success, static_cast<std::uint32_t>(running_.size()));
    running_.erase(it);
    ++finished_;
}

bool admission_controller::cancel(std::uint64_t id)
{
    return queue_.remove(id);
}

void admission_controller::sweep(steady_time now)
{
    if (queue_.size() == 0 || now - last_sweep_ < sweep_interval) {
        return;
    }
    last_sweep_ = now;
    const auto needed = from_seconds(mean_latency_ * required_latency_factor);
    // At a low named rate, already the next request waits for this long.
    const double rate_interval = rate_.limited() ? 1 / *rate_.per_second() : 0;
    const double wait = std::max(mean_latency_ * target_wait_latency_factor, rate_interval);
    queue_.set_target_wait(std::clamp(from_seconds(wait), options_.queue.target_wait,
                                      std::max(options_.queue.target_wait, max_target_wait)));
    expired_.clear();
    aged_.clear();
    queue_.sweep(now, options_.deadline_aware ? needed : duration{}, expired_, aged_);
    for (const auto& e : expired_) {
        pending_.refuse.push_back({e.id, refusal_reason::deadline});
    }
    for (const auto& e : aged_) {
        pending_.refuse.push_back({e.id, refusal_reason::overload});
    }
}

void admission_controller::start_queued(steady_time now)
{
    while (queue_.size() > 0 && may_start(now)) {
        const auto next = queue_.pop();
        if (next->deadline <= now) {
            pending_.refuse.push_back({next->id, refusal_reason::deadline});
            continue;
        }
        start(next->id, now);
        pending_.start.push_back(next->id);
    }
}

const admission_events& admission_controller::poll(steady_time now)
{
    update_rate(now);
    sweep(now);
    if (state_ != admission_state::down) {
        start_queued(now);
    }
    events_.start.clear();
    events_.refuse.clear();
    std::swap(events_, pending_);
    return events_;
}

load_report admission_controller::load(steady_time now)
{
    update_rate(now);
    load_report report;
    report.in_flight = static_cast<std::uint32_t>(running_.size());
    report.limit = reported_limit(now);
    report.rate_limit = rate_limit();
    report.queued = static_cast<std::uint32_t>(queue_.size());
    report.estimated_wait = estimate_wait(importance::normal, false, now);
    report.own = shedding_.level(now, capacity());
    return report;
}

void admission_controller::set_state(admission_state state, steady_time)
{
    if (state == state_) {
        return;
    }
    if (const auto reason = refusal_in(state); reason != refusal_reason::none) {
        // Queued requests can still run on another target, and a draining target must not be sent new work.
        for (const auto& e : queue_.clear()) {
            pending_.refuse.push_back({e.id, reason});
        }
    }
    if (state == admission_state::cold) {
        limit_.restart(options_.limit.initial);
        mean_latency_ = 0;
        finished_ = 0;
    }
    state_ = state;
}

void admission_controller::set_slots(std::uint32_t slots)
{
    if (slots == slots_) {
        return;
    }
    slots_ = slots;
    options_.limit = limit_options_for_slots(slots);
    limit_ = concurrency_limit{options_.limit};
}

void admission_controller::set_rate_limit(std::optional<double> per_second, steady_time now)
{
    named_rate_ = per_second;
    if (named_rate_) {
        named_rate_ = std::max(*named_rate_, request_rate_limit::min_rate);
    }
    update_rate(now);
}

void admission_controller::hint_capacity(std::uint32_t slots)
{
    if (finished_ == 0 && slots > 0) {
        limit_.restart(slots);
    }
}

} // namespace wagtailhatch
