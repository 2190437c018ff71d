#include "bench/policy/simulator.h"

#include <algorithm>
#include <cmath>

namespace wagtailhatch::bench {
namespace {

constexpr double caller_delay = 0.008;  ///< One-way delay between caller and entry node, in seconds.
constexpr double attempt_timeout = 1.0; ///< Seconds until a caller abandons an attempt.
constexpr double caller_deadline = 2.0; ///< Seconds from the first attempt; later answers are of no use.
constexpr double caller_backoff = 0.05; ///< Mean seconds before a caller retries.

} // namespace

double simulator::workspace_rate(index workspace) const
{
    double factor = 1;
    if (trigger_active()) {
        const auto trigger_kind = scenario_.trigger_kind;
        factor = trigger_kind == trigger::surge || trigger_kind == trigger::slow_and_surge ? 3 : factor;
        // Critical requests keep their rate during surge_noncritical: on_arrival() drops two thirds of them.
        factor = trigger_kind == trigger::surge_noncritical ? 3 : factor;
        factor = trigger_kind == trigger::flood && workspace == flooding_workspace ? 8 * 1.25 : factor;
    }
    return deployment_.base_rate * deployment_.workspaces[workspace] * factor;
}

std::uint8_t simulator::draw_route(index)
{
    double x = random_.unit();
    for (std::size_t i = 0; i < deployment_.routes.size(); ++i) {
        x -= deployment_.routes[i].request_fraction;
        if (x < 0) {
            return static_cast<std::uint8_t>(i);
        }
    }
    return static_cast<std::uint8_t>(deployment_.routes.size() - 1);
}

void simulator::on_arrival(index workspace)
{
    push(-std::log(1 - random_.unit()) / workspace_rate(workspace),
         {.kind = event_kind::arrival, .a = workspace});
    caller_request r;
    r.first_sent = seconds();
    r.workspace = static_cast<std::uint8_t>(workspace);
    r.route = draw_route(workspace);
    if (scenario_.trigger_kind == trigger::surge_noncritical && trigger_active() &&
        route_of(r).level == importance::critical && random_.unit() * 3 > 1) {
        return;
    }
    const auto id = static_cast<index>(requests_.size());
    requests_.push_back(r);
    auto& bucket = counts_.buckets[static_cast<std::size_t>(seconds() / outcome_counts::bucket)];
    ++bucket.sent;
    if (in_trigger(seconds())) {
        ++counts_.by_level[static_cast<std::size_t>(route_of(r).level)].sent;
        ++counts_.by_workspace[workspace].sent;
    }
    counts_.bottleneck_requests += route_of(r).path.back() == deployment_.bottleneck ? 1 : 0;
    start_attempt(id);
}

void simulator::start_attempt(index request)
{
    auto& r = requests_[request];
    ++r.attempts;
    r.awaiting_reply = true;
    r.root = no_index;
    push(caller_delay, {.kind = event_kind::attempt, .a = request});
    push(attempt_timeout, {.kind = event_kind::attempt_timed_out, .a = request, .b = r.attempts});
}

void simulator::on_attempt(index request)
{
    const auto entry = static_cast<index>(random_.below(servers_.size()));
    auto& r = requests_[request];
    auto& quota = *quotas_[r.workspace];
    if (policy_.quota && !quota.admit(seconds())) {
        count_first_refusal(request);
        reply(request, false);
        return;
    }
    counts_.rate_excess = std::max(counts_.rate_excess, quota.excess(seconds()));
    auto& node = servers_[entry];
    auto& load_balancer = *node.balancers[static_cast<std::size_t>(route_of(r).path.front())];
    if (policy_.entry_shedding &&
        load_balancer.should_shed(route_of(r).name, level_of(r), workspace_names_[r.workspace], now())) {
        count_first_refusal(request);
        reply(request, false);
        return;
    }
    const auto c = new_call(request, 0, no_index, entry);
    auto& root = calls_[c];
    root.deadline = now_ + std::llround((attempt_timeout - 2 * caller_delay) * 1e9);
    r.root = c;
    r.tokens = retry_tokens{policy_.retry_tokens};
    node.throttle.on_first_attempt();
    send(c);
}

void simulator::count_first_refusal(index request)
{
    auto& r = requests_[request];
    if (r.attempts == 1 && !r.refusal_counted && in_trigger(r.first_sent)) {
        r.refusal_counted = true;
        ++counts_.by_workspace[r.workspace].refused;
    }
}

void simulator::reply(index request, bool succeeded)
{
    push(caller_delay, {.kind = event_kind::reply,
                        .c = static_cast<std::uint8_t>(succeeded ? 1 : 0),
                        .a = request,
                        .b = requests_[request].attempts});
}

void simulator::on_attempt_timeout(index request, index attempt)
{
    auto& r = requests_[request];
    if (r.finished || !r.awaiting_reply || r.attempts != attempt) {
        return;
    }
    if (r.root != no_index) {
        const auto root = r.root;
        r.root = no_index;
        if (policy_.propagate_deadline) {
            cancel(root, true);
        }
        else {
            calls_[root].detached = true;
        }
    }
    on_reply(request, attempt, false);
}

void simulator::on_reply(index request, index attempt, bool succeeded)
{
    auto& r = requests_[request];
    if (r.finished || !r.awaiting_reply || r.attempts != attempt) {
        return;
    }
    r.awaiting_reply = false;
    const double age = seconds() - r.first_sent;
    if (succeeded) {
        r.finished = true;
        if (age > caller_deadline) {
            return;
        }
        ++counts_.buckets[static_cast<std::size_t>(r.first_sent / outcome_counts::bucket)].succeeded;
        if (in_trigger(r.first_sent)) {
            ++counts_.by_level[static_cast<std::size_t>(route_of(r).level)].succeeded;
            ++counts_.by_workspace[r.workspace].succeeded;
        }
        // Excludes the first second, in which the overload builds up.
        if (in_trigger(seconds()) && in_trigger(seconds() - 1)) {
            for (const auto s : route_of(r).path) {
                counts_.goodput += s == deployment_.bottleneck ? 1 : 0;
            }
        }
        return;
    }
    if (r.attempts > scenario_.caller_retries || age >= caller_deadline) {
        r.finished = true;
        return;
    }
    push(caller_backoff * (0.5 + random_.unit()), {.kind = event_kind::caller_retry, .a = request});
}

} // namespace wagtailhatch::bench
