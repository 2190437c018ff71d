#include "src/node/call_server.h"

#include "include/observe/trace_parent.h"
#include "src/node/call_router.h"
#include "src/node/header_filter.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace wagtailhatch {

struct call_server::served_call {
    std::uint64_t id = 0;
    call_message message;
    respond done;
    std::shared_ptr<active_call> active;
    std::string handle;
    steady_time started{};
    bool running = false;
    bool cancelled = false;
    http_client::call_id http = 0;
};

namespace {

// Queued calls are examined this often, since waiting ends by time as well as by events.
constexpr auto poll_interval = std::chrono::milliseconds{5};
constexpr auto check_interval = std::chrono::seconds{1};
constexpr duration probe_timeout = std::chrono::milliseconds{500};
// Calls that break within this time of each other belong to one death of the target.
constexpr duration death_window = std::chrono::seconds{1};
constexpr std::size_t max_recently_lost = 4096;

std::uint64_t fingerprint_of(const call_message& m)
{
    const auto hash = [](const std::string& text, std::uint64_t seed) {
        return XXH3_64bits_withSeed(text.data(), text.size(), seed);
    };
    return hash(m.request.body, hash(m.request.target, hash(m.request.method, 0)));
}

duration own_time(const active_call& a, steady_time started, steady_time now)
{
    auto below = a.outgoing_time;
    if (a.outgoing_active > 0) {
        below += now - a.outgoing_since;
    }
    return std::max(now - started - below, duration{0});
}

} // namespace

call_server::call_server(asio::io_context& io, const clock& time, random_source& random, http_client& client,
                         call_router& router, std::string service, hooks h)
    : poll_timer_{io}
    , check_timer_{io}
    , clock_{time}
    , random_{random}
    , client_{client}
    , router_{router}
    , service_{std::move(service)}
    , hooks_{std::move(h)}
    , link_{service_}
    , admission_{admission_options{}}
    , quarantine_{crash_quarantine_options{}}
{
    arm_check();
}

call_server::~call_server() = default;

void call_server::set_configuration(std::shared_ptr<const configuration> config)
{
    config_ = std::move(config);
    for (const auto& [name, workspace] : config_->workspaces) {
        admission_.set_weight(name, workspace.rate);
    }
    const auto found = config_->services.find(service_);
    if (found != config_->services.end()) {
        admission_.set_slots(found->second.slots);
    }
}

std::function<void()> call_server::submit(call_message message, respond done)
{
    auto c = std::make_shared<served_call>();
    c->id = next_id_++;
    c->message = std::move(message);
    c->done = std::move(done);
    c->message.context.fingerprint = fingerprint_of(c->message);
    const auto now = clock_.now();
    if (leaving_) {
        refuse(c, refusal_reason::leaving, std::chrono::seconds{1});
        return [] {};
    }
    if (link_.state() == link_state::absent) {
        refuse(c, refusal_reason::no_target, std::chrono::seconds{1});
        return [] {};
    }
    if (const auto hold = quarantine_.held(c->message.context.fingerprint, now)) {
        refuse(c, refusal_reason::quarantined, *hold);
        return [] {};
    }
    const auto& context = c->message.context;
    const auto decision = admission_.submit({c->id, context.level, context.workspace, context.deadline}, now);
    if (decision.what == admission_decision::kind::refused) {
        refuse(c, decision.reason, decision.retry_after);
        act();
        return [] {};
    }
    calls_.emplace(c->id, c);
    if (decision.what == admission_decision::kind::start) {
        run(c);
    }
    act();
    std::weak_ptr<int> alive = alive_;
    return [this, alive, id = c->id] {
        if (!alive.expired()) {
            cancel(id);
        }
    };
}

void call_server::run(const call_ptr& c)
{
    const auto now = clock_.now();
    c->running = true;
    c->started = now;
    c->active = std::make_shared<active_call>();
    c->active->context = c->message.context;
    c->active->context.trace = child_span(c->message.context.trace, random_);
    c->active->retries = std::make_shared<retry_tokens>(c->message.context.retry_tokens);
    c->handle = handles_.insert(c->active);

    http_call call;
    call.address = link_.address();
    call.request = c->message.request;
    filter_request_headers(call.request.headers);
    const auto remaining = c->message.context.deadline - now;
    call.timeout = std::max<duration>(remaining, std::chrono::milliseconds{1});
    const auto remaining_ms = std::chrono::duration_cast<std::chrono::milliseconds>(call.timeout).count();
    call.request.headers.push_back({"wh-call-handle", c->handle});
    call.request.headers.push_back({"wh-timeout-ms", std::to_string(remaining_ms)});
    call.request.headers.push_back({"traceparent", format_traceparent(c->active->context.trace)});
    call.never_repeat = !c->message.idempotent;
    c->http = client_.start(std::move(call), [this, alive = std::weak_ptr<int>{alive_}, c](http_result r) {
        if (!alive.expired()) {
            on_result(c, std::move(r));
        }
    });
}

void call_server::on_result(const call_ptr& c, http_result r)
{
    if (!r.ok) {
        on_failure(c, r);
        return;
    }
    const auto now = clock_.now();
    const bool refused_below = c->active->downstream_refused;
    const bool overloaded = r.response.status == 503 && !refused_below;
    admission_.finish(c->id, own_time(*c->active, c->started, now), !overloaded, now);
    if (quarantine_.on_finished(c->message.context.fingerprint) && hooks_.cleared) {
        hooks_.cleared(c->message.context.fingerprint);
    }
    auto reply = make_reply(*c, outcome::answered, refusal_reason::none);
    reply.downstream_refused = refused_below;
    reply.response = std::move(r.response);
    filter_response_headers(reply.response.headers);
    end(c, std::move(reply));
    act();
}

void call_server::on_failure(const call_ptr& c, const http_result& r)
{
    const auto now = clock_.now();
    const bool cancelled = r.reason.code == make_error_code(errc::cancelled);
    const bool timed_out = r.reason.code == make_error_code(errc::timeout);
    admission_.finish(c->id, own_time(*c->active, c->started, now), cancelled, now);
    if (r.sent == delivery::not_sent) {
        target_gone();
        end(c, make_reply(*c, outcome::not_run, refusal_reason::no_target));
    }
    else {
        if (!cancelled && !timed_out) {
            suspect_death(c);
        }
        const auto reason = cancelled   ? refusal_reason::cancelled
                            : timed_out ? refusal_reason::deadline
                                        : refusal_reason::connection_lost;
        end(c, make_reply(*c, outcome::unknown, reason));
    }
    act();
}

void call_server::cancel(std::uint64_t id)
{
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
        return;
    }
    const auto c = found->second;
    if (!c->running) {
        if (admission_.cancel(id)) {
            end(c, make_reply(*c, outcome::not_run, refusal_reason::cancelled));
        }
        return;
    }
    // A run-once request that has started is left to finish: its answer is kept for the repeat.
    if (c->message.context.run_once_key.empty() && !std::exchange(c->cancelled, true)) {
        client_.cancel(c->http);
    }
}

void call_server::end(const call_ptr& c, call_reply reply)
{
    calls_.erase(c->id);
    if (c->active) {
        handles_.erase(c->handle);
        reply.retry_tokens = c->active->retries->close();
        if (hooks_.served) {
            hooks_.served(c->active->context, c->started, reply);
        }
    }
    if (auto done = std::exchange(c->done, nullptr)) {
        done(std::move(reply));
    }
}

void call_server::refuse(const call_ptr& c, refusal_reason reason, duration retry_after)
{
    auto reply = make_reply(*c, outcome::not_run, reason);
    reply.retry_tokens = c->message.context.retry_tokens;
    reply.retry_after = std::chrono::ceil<std::chrono::milliseconds>(retry_after);
    end(c, std::move(reply));
}

call_reply call_server::make_reply(const served_call& c, outcome what, refusal_reason reason)
{
    call_reply reply;
    reply.result = what;
    reply.reason = reason;
    reply.leaving = leaving_;
    reply.load = admission_.load(clock_.now());
    if (config_) {
        const auto found = config_->services.find(service_);
        if (found != config_->services.end()) {
            reply.load.path = router_.path_pressure(found->second.calls, c.message.context.route);
        }
    }
    return reply;
}

void call_server::act()
{
    const auto events = admission_.poll(clock_.now());
    for (const auto id : events.start) {
        if (const auto found = calls_.find(id); found != calls_.end()) {
            run(found->second);
        }
    }
    for (const auto& refusal : events.refuse) {
        if (const auto found = calls_.find(refusal.id); found != calls_.end()) {
            refuse(call_ptr{found->second}, refusal.reason, std::chrono::seconds{1});
        }
    }
    arm_poll();
}

void call_server::arm_poll()
{
    if (poll_armed_ || admission_.load(clock_.now()).queued == 0) {
        return;
    }
    poll_armed_ = true;
    poll_timer_.expires_after(poll_interval);
    poll_timer_.async_wait([this](const std::error_code& failure) {
        if (!failure) {
            poll_armed_ = false;
            act();
        }
    });
}

void call_server::arm_check()
{
    check_timer_.expires_after(check_interval);
    check_timer_.async_wait([this](const std::error_code& failure) {
        if (!failure) {
            check_target();
            arm_check();
        }
    });
}

void call_server::check_target()
{
    if (link_.expire(clock_.now())) {
        target_gone();
    }
}

result<bool> call_server::announce(const target_announcement& a)
{
    const auto now = clock_.now();
    const auto changed = link_.announce(a, now);
    if (!changed) {
        return changed.failure();
    }
    if (changed->restarted) {
        report_death();
    }
    if (changed->became_ready) {
        admission_.set_target_state(target_state::cold, now);
        if (a.slots > 0) {
            admission_.hint_capacity(a.slots);
        }
    }
    if (changed->became_draining) {
        admission_.set_target_state(target_state::draining, now);
    }
    if ((changed->became_ready || changed->became_draining) && hooks_.target_changed) {
        hooks_.target_changed(link_.state() == link_state::ready, link_.state() == link_state::draining);
    }
    act();
    return true;
}

void call_server::leave()
{
    leaving_ = true;
}

void call_server::target_gone()
{
    link_.on_refused();
    admission_.set_target_state(target_state::down, clock_.now());
    report_death();
    if (hooks_.target_changed) {
        hooks_.target_changed(false, false);
    }
}

void call_server::suspect_death(const call_ptr& c)
{
    if (recently_lost_.size() < max_recently_lost) {
        recently_lost_.push_back({c->message.context.fingerprint, clock_.now()});
    }
    probe_target();
}

// Tells a target that died from one that only closed a connection: the dead one refuses connections.
void call_server::probe_target()
{
    if (std::exchange(probing_, true)) {
        return;
    }
    http_call probe;
    probe.address = link_.address();
    probe.request = {"GET", "/health", {}, {}};
    probe.timeout = probe_timeout;
    probe.never_repeat = true;
    client_.start(std::move(probe), [this, alive = std::weak_ptr<int>{alive_}](const http_result& r) {
        if (alive.expired()) {
            return;
        }
        probing_ = false;
        if (!r.ok && r.sent == delivery::not_sent) {
            target_gone();
            act();
        }
        else {
            recently_lost_.clear();
        }
    });
}

void call_server::report_death()
{
    death_report report;
    const auto now = clock_.now();
    for (const auto& lost : recently_lost_) {
        if (now - lost.at < death_window) {
            report.fingerprints.push_back(lost.fingerprint);
        }
    }
    recently_lost_.clear();
    for (const auto& [id, c] : calls_) {
        if (c->running) {
            report.fingerprints.push_back(c->message.context.fingerprint);
        }
    }
    if (report.fingerprints.empty()) {
        return;
    }
    report.death_id = random_.engine()();
    quarantine_.on_death(report, now);
    if (hooks_.target_died) {
        hooks_.target_died(report);
    }
}

} // namespace wagtailhatch
