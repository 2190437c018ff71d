#include "src/call/target_dispatcher.h"

#include "include/observe/logging.h"
#include "src/call/dispatched_call.h"

#include <asio/post.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <random>
#include <utility>

namespace wagtailhatch {
namespace {

using namespace std::chrono_literals;

constexpr duration poll_interval = 5ms;
// Requests whose connection was lost at most this long before the target was found down count as in flight at
// its crash.
constexpr duration crash_window = 2s;
// The target's own failures are attributed to a failed downstream call for this long.
constexpr duration downstream_failure_window = 1s;

std::uint64_t random_id()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32U) | device();
}

admission_state state_for_admission(const target_state& target, bool down, bool evacuated)
{
    if (down) {
        return admission_state::down;
    }
    switch (target.phase) {
    case target_phase::ready:
        return evacuated ? admission_state::evacuated : admission_state::ready;
    case target_phase::draining:
    case target_phase::gone:
        return admission_state::draining;
    case target_phase::unknown:
        break;
    }
    return admission_state::down;
}

} // namespace

target_dispatcher::target_dispatcher(asio::io_context& io, const clock& time, const header_codec& codec,
                                     target_dispatcher_options options)
    : io_{io}
    , time_{time}
    , codec_{codec}
    , options_{std::move(options)}
    , pool_{io, time, options_.target}
    , admission_{options_.admission}
    , quarantine_{crash_quarantine_options{}}
    , poll_timer_{io}
{
}

target_dispatcher::~target_dispatcher() = default;

void target_dispatcher::post_refusal(const std::shared_ptr<dispatched_call>& call, refusal_reason reason,
                                     duration retry_after)
{
    asio::post(io_, [call, reason, retry_after] { call->refuse(reason, retry_after); });
}

std::shared_ptr<call_handle> target_dispatcher::start(service_call call, std::shared_ptr<reply_sink> sink)
{
    const auto now = time_.now();
    const auto admission_id = ++last_id_;
    auto entry = std::make_shared<dispatched_call>(*this, admission_id, std::move(call), std::move(sink));
    const auto& wanted = entry->call();
    if (wanted.service != options_.service) {
        post_refusal(entry, refusal_reason::no_target, {});
        return entry;
    }
    if (const auto remaining_quarantine = quarantine_.remaining_quarantine(wanted.fingerprint, now)) {
        post_refusal(entry, refusal_reason::quarantined, *remaining_quarantine);
        return entry;
    }
    calls_.emplace(admission_id, entry);
    adopt_rate_limit(wanted.target_rate_limit);
    const auto decision = admission_.submit(make_admission_request(admission_id, wanted, now), now);
    switch (decision.what) {
    case admission_decision::kind::start:
        entry->send();
        break;
    case admission_decision::kind::queued:
        schedule_poll();
        break;
    case admission_decision::kind::refused:
        calls_.erase(admission_id);
        post_refusal(entry, decision.reason, decision.retry_after);
        break;
    }
    run_admission();
    return entry;
}

admission_request target_dispatcher::make_admission_request(std::uint64_t id, const service_call& call,
                                                            steady_time now) const
{
    const auto soonest = std::min(call.deadline, call.soft_deadline);
    if (speed_.pace(now) <= 0) {
        return {id, call.level, call.workspace, soonest};
    }
    return {id, call.level, call.workspace, call.deadline, soonest, speed_.expected_time(call.route, now)};
}

std::shared_ptr<call_handle> target_dispatcher::reject(service_call call, std::shared_ptr<reply_sink> sink,
                                                       refusal_reason reason)
{
    const auto entry = std::make_shared<dispatched_call>(*this, ++last_id_, std::move(call), std::move(sink));
    post_refusal(entry, reason, {});
    return entry;
}

void target_dispatcher::run_admission()
{
    if (std::exchange(admitting_, true)) {
        return;
    }
    const auto events = admission_.poll(time_.now());
    for (const auto& refused : events.refuse) {
        if (const auto found = calls_.find(refused.id); found != calls_.end()) {
            const auto call = found->second;
            calls_.erase(found);
            post_refusal(call, refused.reason, admission_.load(time_.now()).estimated_wait);
        }
    }
    for (const auto id : events.start) {
        if (const auto found = calls_.find(id); found != calls_.end()) {
            const auto call = found->second;
            call->send();
        }
    }
    admitting_ = false;
    schedule_poll();
}

void target_dispatcher::schedule_poll()
{
    if (poll_scheduled_ || admission_.load(time_.now()).queued == 0) {
        return;
    }
    poll_scheduled_ = true;
    poll_timer_.expires_after(poll_interval);
    poll_timer_.async_wait([this](const std::error_code& ec) {
        if (ec) {
            return;
        }
        poll_scheduled_ = false;
        run_admission();
    });
}

void target_dispatcher::finished(dispatched_call& call, bool success)
{
    const auto found = calls_.find(call.admission_id());
    if (found == calls_.end()) {
        return;
    }
    const auto self = found->second;
    calls_.erase(found);
    if (const auto run = running_.find(call.call().id); run != running_.end() && run->second == &call) {
        running_.erase(run);
    }
    const auto now = time_.now();
    admission_.finish(call.admission_id(), {}, success, now);
    asio::post(io_, [this] { run_admission(); });
}

void target_dispatcher::sweep()
{
    record_cold_start();
    pool_.close_expired();
    const auto now = time_.now();
    log_speed_change(speed_.update_slow(now));
    const auto copy = calls_;
    for (const auto& [admission_id, call] : copy) {
        call->end_if_abandoned(now);
    }
}

void target_dispatcher::withdraw(dispatched_call& call)
{
    admission_.cancel(call.admission_id());
    calls_.erase(call.admission_id());
}

void target_dispatcher::set_target(const target_state& target)
{
    const bool changed = target.id != target_.id;
    if (changed) {
        log_speed_change(speed_.reset());
    }
    const auto previous = std::exchange(target_, target);
    const auto before = previous.phase;
    const bool was_down = std::exchange(down_, false);
    if (changed) {
        pool_.close_idle();
        response_seen_ = false;
        admission_.set_rate_limit({}, time_.now());
    }
    if (changed || before != target.phase) {
        log(log_level::info, "target state",
            {{"target", target.id}, {"phase", to_string(target.phase)}, {"slots", target.slots}});
    }
    update_cold_start(previous, was_down);
    apply_target();
    run_admission();
}

void target_dispatcher::update_cold_start(const target_state& before, bool was_down)
{
    const auto now = time_.now();
    auto& cold = admission_.cold_start();
    const bool told = target_.cold_reported != before.cold_reported && target_.cold_reported != steady_time{};
    if (target_.id != before.id) {
        cold_ = false;
        cold.on_new_target(now);
    }
    else if (!told && (was_down || target_.cold_reported != before.cold_reported)) {
        // The target was away, or started again under the same id, and does not tell whether it is cold.
        cold.expect_cold_start(now);
    }
    if (target_.cold_reported != steady_time{}) {
        cold.on_report(target_.cold_until, target_.cold_reported, now);
    }
    record_cold_start();
}

void target_dispatcher::set_cold_start(const cold_start_options& options)
{
    admission_.cold_start().configure(options);
    record_cold_start();
    run_admission();
}

void target_dispatcher::expect_cold_start()
{
    admission_.cold_start().expect_cold_start(time_.now());
    record_cold_start();
}

void target_dispatcher::record_cold_start()
{
    const auto now = time_.now();
    const auto& cold = admission_.cold_start();
    if (down_ || target_.id.empty() || cold.cold(now) == cold_) {
        return;
    }
    cold_ = !cold_;
    if (!cold_) {
        log(log_level::info, "target warm", {{"target", target_.id}});
        return;
    }
    ++cold_starts_;
    log(log_level::info, "target cold",
        {{"target", target_.id},
         {"assumed", cold.assumed()},
         {"left_ms", std::chrono::duration_cast<std::chrono::milliseconds>(cold.cold_left(now)).count()},
         {"per_second", cold.rate(now).value_or(0)}});
}

void target_dispatcher::set_evacuated(bool evacuated)
{
    if (std::exchange(evacuated_, evacuated) == evacuated) {
        return;
    }
    apply_target();
    run_admission();
}

void target_dispatcher::apply_target()
{
    const auto now = time_.now();
    admission_.set_state(state_for_admission(target_, down_, evacuated_), now);
    if (target_.slots > 0) {
        admission_.set_slots(target_.slots);
    }
}

const service_call* target_dispatcher::running(const std::string& id) const
{
    const auto found = running_.find(id);
    return found == running_.end() ? nullptr : &found->second->call();
}

load_report target_dispatcher::load(std::string_view route)
{
    const auto now = time_.now();
    admission_.set_pace_known(speed_.pace(now) > 0);
    auto report = admission_.load(now);
    if (!route.empty() && path_pressure_) {
        report.path = path_pressure_(route);
    }
    report.downstream_failing = last_downstream_failure_ != steady_time{} &&
                                now - last_downstream_failure_ < downstream_failure_window;
    report.pace = speed_.pace(now);
    report.service_time = speed_.service_time(now);
    return report;
}

std::string target_dispatcher::format_demand() const
{
    return fmt::format("{:.0f}", fmt::join(admission_.demand(), " "));
}

void target_dispatcher::on_downstream_call_end(const std::string& parent, bool failed)
{
    if (failed) {
        last_downstream_failure_ = time_.now();
    }
    else if (const auto found = running_.find(parent); found != running_.end()) {
        found->second->record_call_done();
    }
}

void target_dispatcher::record_lost_connection(std::uint64_t fingerprint)
{
    const auto now = time_.now();
    std::erase_if(lost_requests_, [&](const lost_request& run) { return now - run.at > crash_window; });
    lost_requests_.push_back({fingerprint, now});
}

void target_dispatcher::on_response_metadata(const response_metadata& metadata)
{
    response_seen_ = true;
    const auto now = time_.now();
    const bool assumes = assumes_usual_pace_ && !metadata.pace;
    if (!speed_.on_pace(assumes ? std::optional{1.0} : metadata.pace, now)) {
        ++invalid_paces_;
    }
    log_speed_change(speed_.update_slow(now));
    const double before = admission_.named_rate_limit();
    admission_.set_rate_limit(metadata.rate_limit, now);
    const double after = admission_.named_rate_limit();
    if (before != after) {
        log(log_level::info, "target rate limit", {{"target", target_.id}, {"per_second", after}});
    }
    if (metadata.leaving && target_.phase == target_phase::ready) {
        log(log_level::info, "target says it leaves", {{"target", target_.id}});
        if (leaving_callback_) {
            leaving_callback_(target_.id);
        }
    }
}

void target_dispatcher::log_speed_change(speed_change change)
{
    if (change == speed_change::none) {
        return;
    }
    const bool slow = change == speed_change::became_slow;
    log(slow ? log_level::warning : log_level::info, slow ? "target slow" : "target no longer slow",
        {{"target", target_.id}, {"pace", speed_.pace(time_.now())}});
}

void target_dispatcher::adopt_rate_limit(double per_second)
{
    if (response_seen_ || per_second <= 0 || admission_.named_rate_limit() > 0) {
        return;
    }
    log(log_level::info, "target rate limit from a peer",
        {{"target", target_.id}, {"per_second", per_second}});
    admission_.set_rate_limit(per_second, time_.now());
}

void target_dispatcher::mark_target_down()
{
    if (std::exchange(down_, true)) {
        return;
    }
    const auto now = time_.now();
    log(log_level::warning, "target down", {{"target", target_.id}, {"running", calls_.size()}});
    crash_report report;
    report.crash_id = random_id();
    for (const auto& run : lost_requests_) {
        if (now - run.at <= crash_window) {
            report.fingerprints.push_back(run.fingerprint);
        }
    }
    lost_requests_.clear();
    admission_.cold_start().expect_cold_start(now);
    cold_ = false;
    apply_target();
    run_admission();
    if (!report.fingerprints.empty()) {
        quarantine_.on_target_crash(report, now);
        if (crash_callback_) {
            crash_callback_(report);
        }
    }
}

} // namespace wagtailhatch
