#include "src/node/entry_call.h"

#include "include/http/http_status.h"
#include "include/observe/logging.h"
#include "include/retry/retry_value.h"

#include <algorithm>
#include <utility>

namespace wagtailhatch {
namespace {

using namespace std::chrono_literals;

// Refusals after which a request is not sent to further targets. Only refusals by the targets' nodes count,
// which cost the targets nothing.
constexpr std::uint32_t max_refusals = 3;
// A retry needs at least 1/8 of the route's target latency before the deadline.
constexpr int min_time_left_divisor = 8;
constexpr duration min_retry_after = 50ms;
constexpr duration overload_retry_after = 500ms;
constexpr duration no_target_retry_after = 300ms;
// Retry-After is at most 1/4 of the time left; jitter may extend it to at most a third.
constexpr int retry_after_divisor = 4;

} // namespace

entry_call::entry_call(entry_router& router, std::shared_ptr<caller_exchange> exchange)
    : router_{router}
    , exchange_{std::move(exchange)}
    , snapshot_{router.snapshot_}
    , deadline_timer_{router.io_}
    , arrived_{router.time_.now()}
{
    ++router_.in_progress_;
}

entry_call::~entry_call()
{
    --router_.in_progress_;
}

void entry_call::attempt()
{
    const auto now = router_.time_.now();
    auto& service = router_.service(call_.service);
    while (true) {
        const auto pick = service.targets.pick(now, {route_->target_latency}, tried_, placement());
        if (pick.target == nullptr) {
            finish_without_target(pick.reason);
            return;
        }
        target_ = pick.target->id;
        target_data_centre_ = pick.target->data_centre;
        tried_.push_back(target_);
        call_.target_rate_limit = service.targets.known_rate_limit(target_, now);
        service.targets.on_sent(target_, now);
        router_.stats_.attempts.add();
        handle_ = router_.dispatcher_.dispatch(*pick.target, call_, shared_from_this());
        if (handle_) {
            return;
        }
        service.targets.on_failure(target_, attempt_failure::not_reached, now);
    }
}

void entry_call::finish_without_target(refusal_reason no_target_reason)
{
    if (fallback_) {
        answer(std::move(*fallback_));
    }
    else if (may_have_run_) {
        refuse(http_status::bad_gateway, refusal_reason::outcome_unknown, {});
    }
    else if (refusal_) {
        const bool persistent = router_.service(call_.service).chains.rejecting(router_.time_.now());
        refuse(http_status::unavailable, refusal_->reason,
               std::max(refusal_->retry_after, persistent ? overload_retry_after : min_retry_after));
    }
    else {
        refuse(http_status::unavailable, no_target_reason, no_target_retry_after);
    }
}

void entry_call::record_refusal(const call_failure& failure)
{
    const bool is_quarantined = failure.reason == refusal_reason::quarantined;
    if (!refusal_ || is_quarantined || failure.retry_after < refusal_->retry_after) {
        refusal_ = failure;
    }
}

duration entry_call::shed_retry_after() const
{
    auto& service = router_.service(call_.service);
    const auto now = router_.time_.now();
    if (!service.chains.enabled(now)) {
        return overload_retry_after;
    }
    const double admitted = service.targets.entry_pressure(call_.route, now).fraction(call_.level);
    return retry_after_shedding(overload_retry_after, admitted, router_.random_);
}

void entry_call::record_arrival(bool rejected)
{
    router_.service(call_.service).chains.on_arrival(target_, rejected, router_.time_.now());
}

void entry_call::record_answer(const load_report& load, call_result result)
{
    if (load.pace > 0) {
        router_.service(call_.service).chains.on_pace(router_.time_.now());
    }
    router_.service(call_.service)
        .targets.on_answer(target_, load, {call_.route, call_.depth, result}, router_.time_.now());
}

bool entry_call::may_retry() const
{
    return call_.idempotent || !may_have_run_;
}

bool entry_call::take_retry(steady_time now)
{
    auto& service = router_.service(call_.service);
    if (!service.chains.chooses_retries(now)) {
        return service.retries.try_take(now, retry_reserve(call_, siblings_done_));
    }
    return service.chains.may_repeat(call_, siblings_done_, now) && service.retries.try_take(now);
}

void entry_call::allow_repeated_targets(steady_time now)
{
    auto& service = router_.service(call_.service);
    const auto usable = service.targets.usable(now, placement());
    if (!service.chains.rejecting(now) || tried_.size() < usable) {
        return;
    }
    tried_.clear();
    if (usable > 1) {
        tried_.push_back(target_);
    }
}

placement_limits entry_call::placement() const
{
    return {allowed_data_centres_ ? &*allowed_data_centres_ : nullptr, refused_data_centres_};
}

bool entry_call::retry()
{
    const auto now = router_.time_.now();
    const auto left = call_.deadline - now;
    if (!may_retry() || runs_ >= route_->max_attempts ||
        left < route_->target_latency / min_time_left_divisor || !take_retry(now)) {
        return false;
    }
    allow_repeated_targets(now);
    log(log_level::info, "sent again",
        {{"id", call_.id}, {"route", call_.route}, {"service", call_.service}, {"arrivals", arrivals_}});
    // A request that every target rejected has made no calls, so its calls are the first of their kind.
    call_.repeated = call_.repeated || runs_ > 0 || !router_.service(call_.service).chains.enabled(now);
    router_.stats_.repeats.add();
    attempt();
    return true;
}

void entry_call::on_reply(http_response response, const load_report& load)
{
    if (closed_) {
        return;
    }
    handle_.reset();
    ++arrivals_;
    ++runs_;
    record_arrival(false);
    const bool failed = response.status >= http_status::internal_error;
    record_answer(load, failed ? call_result::failed : call_result::answered);
    may_have_run_ = true;
    if (failed && response.status != http_status::gateway_timeout && call_.idempotent &&
        !load.downstream_failing) {
        fallback_ = std::move(response);
        if (retry()) {
            return;
        }
        answer(std::move(*fallback_));
        return;
    }
    answer(std::move(response));
}

void entry_call::on_reply_head(http_response head, std::optional<std::uint64_t> length,
                               const load_report& load)
{
    if (closed_) {
        return;
    }
    ++arrivals_;
    record_arrival(false);
    may_have_run_ = true;
    streaming_ = true;
    record_answer(load, call_result::answered);
    exchange_->on_progress([weak = weak_from_this()](std::size_t bytes) {
        const auto self = weak.lock();
        if (self && self->handle_) {
            self->handle_->consumed(bytes);
        }
    });
    exchange_->start(head, length);
}

void entry_call::on_reply_data(std::string bytes)
{
    if (!closed_) {
        exchange_->write(bytes);
    }
}

void entry_call::on_reply_end()
{
    if (closed_) {
        return;
    }
    log(log_level::debug, "answered", {{"id", call_.id}, {"target", target_}});
    handle_.reset();
    count_answer(true);
    exchange_->finish();
    close();
}

void entry_call::on_failure(const call_failure& failure, const load_report& load)
{
    if (closed_) {
        return;
    }
    handle_.reset();
    if (streaming_) {
        log(log_level::warning, "answer cut",
            {{"id", call_.id}, {"target", target_}, {"reason", to_string(failure.reason)}});
        exchange_->abort();
        close();
        return;
    }
    log(log_level::info, "attempt failed",
        {{"id", call_.id},
         {"service", call_.service},
         {"target", target_},
         {"reason", to_string(failure.reason)},
         {"may_have_run", failure.may_have_run},
         {"limit", load.limit},
         {"in_flight", load.in_flight},
         {"queued", load.queued}});
    if (failure.may_have_run) {
        on_unknown_outcome(failure.reason);
    }
    else if (failure.reason == refusal_reason::evacuated ||
             failure.reason == refusal_reason::outside_regions) {
        on_data_centre_refused(failure.reason);
    }
    else {
        on_not_run(failure, load);
    }
}

void entry_call::on_unknown_outcome(refusal_reason reason)
{
    ++arrivals_;
    ++runs_;
    may_have_run_ = true;
    router_.service(call_.service).targets.on_failure(target_, attempt_failure::broken, router_.time_.now());
    if (retry()) {
        return;
    }
    if (fallback_) {
        answer(std::move(*fallback_));
        return;
    }
    refuse(http_status::bad_gateway, reason, {});
}

void entry_call::on_not_run(const call_failure& failure, const load_report& load)
{
    auto& targets = router_.service(call_.service).targets;
    const auto now = router_.time_.now();
    if (failure.reason == refusal_reason::leaving || failure.reason == refusal_reason::no_target) {
        targets.on_failure(target_, attempt_failure::not_reached, now);
    }
    else {
        if (failure.reason == refusal_reason::overload && !failure.reached_target &&
            targets.has_room_beside(target_, now)) {
            router_.stats_.refused_beside_room.add();
        }
        record_refusal(failure);
        record_answer(load, call_result::refused);
    }
    if (failure.reached_target) {
        ++arrivals_;
        // Otherwise the target takes no requests any more, and others do.
        if (failure.reason == refusal_reason::overload) {
            record_arrival(true);
        }
        if (retry()) {
            return;
        }
    }
    else if (failure.reason != refusal_reason::quarantined && ++refusals_ < max_refusals &&
             now < call_.deadline) {
        attempt();
        return;
    }
    finish_without_target(failure.reason);
}

void entry_call::on_data_centre_refused(refusal_reason reason)
{
    const auto now = router_.time_.now();
    // The target is healthy, and its data centre is left out of this request from now on. At most one such
    // refusal for each data centre follows, so they do not count towards max_refusals.
    router_.service(call_.service).targets.on_failure(target_, attempt_failure::cancelled, now);
    if (reason == refusal_reason::outside_regions && allowed_data_centres_) {
        allowed_data_centres_->erase(target_data_centre_);
    }
    else {
        refused_data_centres_.push_back(target_data_centre_);
    }
    if (now < call_.deadline) {
        attempt();
        return;
    }
    finish_without_target(reason);
}

duration entry_call::with_jitter(duration retry_after) const
{
    if (call_.deadline == steady_time{}) {
        return retry_after;
    }
    const auto left = call_.deadline - router_.time_.now();
    const auto bounded = std::clamp<duration>(
        retry_after, min_retry_after, std::max<duration>(left / retry_after_divisor, min_retry_after));
    // Jitter of +/-25 %, so that callers refused at the same time do not retry at the same time.
    const double factor = 0.75 + 0.5 * router_.random_.unit();
    return std::chrono::duration_cast<duration>(bounded * factor);
}

void entry_call::refuse(int status, refusal_reason reason, duration retry_after)
{
    const auto wait = retry_after > duration{} ? with_jitter(retry_after) : duration{};
    log(log_level::info, "refused",
        {{"id", call_.id},
         {"status", status},
         {"reason", to_string(reason)},
         {"route", call_.route},
         {"workspace", call_.workspace},
         {"after_ms", milliseconds_since_arrival()},
         {"arrivals", arrivals_},
         {"config", snapshot_ ? snapshot_->config().version : 0}});
    router_.stats_.refused(reason).add();
    if (charged_ && arrivals_ == 0 && !may_have_run_) {
        router_.rates_.refund(call_.workspace, router_.time_.now_with_suspend());
    }
    exchange_->respond({status, router_.codec_.local_response_headers(call_.id, wait), {}});
    report_downstream_call(true);
    close();
}

void entry_call::answer(http_response response)
{
    if (log_enabled(log_level::debug) || response.status >= http_status::internal_error) {
        log(response.status >= http_status::internal_error ? log_level::info : log_level::debug, "answered",
            {{"id", call_.id},
             {"status", response.status},
             {"target", target_},
             {"after_ms", milliseconds_since_arrival()}});
    }
    report_downstream_call(response.status >= http_status::internal_error);
    count_answer(response.status < http_status::internal_error);
    exchange_->respond(response);
    close();
}

void entry_call::count_answer(bool good)
{
    (good ? router_.stats_.answered : router_.stats_.failed).add();
    router_.stats_.request_seconds.observe(
        std::chrono::duration<double>(router_.time_.now() - arrived_).count());
}

double entry_call::milliseconds_since_arrival() const
{
    return std::chrono::duration<double, std::milli>(router_.time_.now() - arrived_).count();
}

void entry_call::report_downstream_call(bool failed)
{
    if (call_.depth > 0) {
        router_.dispatcher_.on_downstream_call_end(parent_, failed);
    }
}

void entry_call::on_deadline()
{
    if (closed_) {
        return;
    }
    if (const auto handle = std::exchange(handle_, nullptr)) {
        router_.service(call_.service)
            .targets.on_failure(target_, attempt_failure::timeout, router_.time_.now());
        handle->cancel();
        may_have_run_ = true;
    }
    if (streaming_) {
        exchange_->abort();
        close();
        return;
    }
    refuse(http_status::gateway_timeout, refusal_reason::deadline, {});
}

void entry_call::on_caller_disconnect()
{
    if (closed_) {
        return;
    }
    if (const auto handle = std::exchange(handle_, nullptr)) {
        router_.service(call_.service)
            .targets.on_failure(target_, attempt_failure::cancelled, router_.time_.now());
        handle->cancel();
    }
    router_.stats_.callers_gone.add();
    log(log_level::info, "caller gone",
        {{"id", call_.id}, {"target", target_}, {"after_ms", milliseconds_since_arrival()}});
    close();
}

void entry_call::close()
{
    closed_ = true;
    deadline_timer_.cancel();
    fallback_.reset();
    exchange_->on_progress({});
}

} // namespace wagtailhatch
