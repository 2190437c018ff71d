#include "bench/policy/simulator.h"

#include <algorithm>
#include <cmath>

namespace wagtailhatch::bench {
namespace {

constexpr double tick_interval = 0.005; ///< Seconds between polls of a queue that is not empty.
// One-way network delays, in seconds.
constexpr double intra_data_centre_delay = 0.0003;
constexpr double inter_data_centre_delay = 0.0015;

} // namespace

simulator::simulator(const sim_deployment& deployment, const scenario& spec, const variant& policy,
                     std::uint64_t seed)
    : deployment_{deployment}
    , scenario_{spec}
    , policy_{policy}
    , random_{seed}
    , node_random_{seed + 1'000'003}
{
    make_servers();
    const auto workspaces = deployment_.workspaces.size();
    const bool fits_capacity = spec.trigger_kind == trigger::flood;
    for (std::size_t w = 0; w < workspaces; ++w) {
        // If one workspace exceeds its rate, the rates fit the capacity; otherwise they leave headroom for
        // the surge.
        const double rate = deployment_.base_rate * deployment_.workspaces[w] * (fits_capacity ? 1.25 : 6);
        quotas_.push_back(std::make_unique<exact_bucket>(rate, rate));
        push(random_.unit() * 0.1, {.kind = event_kind::arrival, .a = static_cast<index>(w)});
    }
    counts_.by_workspace.resize(workspaces);
    counts_.buckets.resize(static_cast<std::size_t>(spec.end() / outcome_counts::bucket) + 2);
    schedule_triggers();
}

void simulator::make_servers()
{
    for (std::size_t w = 0; w < deployment_.workspaces.size(); ++w) {
        workspace_names_.push_back("workspace" + std::to_string(w));
    }
    for (std::size_t s = 0; s < deployment_.services.size(); ++s) {
        const auto& service = deployment_.services[s];
        for (std::size_t i = 0; i < service.data_centres.size(); ++i) {
            server next;
            next.service = static_cast<int>(s);
            next.data_centre = service.data_centres[i];
            next.id = service.name + std::to_string(i);
            servers_.push_back(std::move(next));
        }
    }
    for (auto& s : servers_) {
        make_node(s);
        s.admission->set_state(admission_state::ready, now());
    }
    publish_members();
}

void simulator::make_node(server& s)
{
    const auto& service = deployment_.services[static_cast<std::size_t>(s.service)];
    auto admit = policy_.admit;
    admit.limit = limit_options_for_slots(policy_.use_configured_slots ? service.slots : 0);
    if (policy_.limit_at_connections) {
        admit.limit = limit_options_for_slots(service.connections);
    }
    s.admission = std::make_unique<admission_controller>(admit);
    for (std::size_t w = 0; w < workspace_names_.size(); ++w) {
        s.admission->set_weight(workspace_names_[w], deployment_.workspaces[w]);
    }
    for (std::size_t i = 0; i < deployment_.services.size(); ++i) {
        auto route = policy_.route;
        route.data_centre = std::to_string(s.data_centre);
        s.balancers.push_back(std::make_unique<balancer>(route, node_random_));
        for (std::size_t w = 0; w < workspace_names_.size(); ++w) {
            s.balancers.back()->set_weight(workspace_names_[w], deployment_.workspaces[w]);
        }
    }
}

void simulator::publish_members()
{
    for (std::size_t service = 0; service < deployment_.services.size(); ++service) {
        std::vector<member> members;
        for (index i = 0; i < servers_.size(); ++i) {
            const auto& s = servers_[i];
            if (s.service == static_cast<int>(service)) {
                member m;
                m.id = s.id;
                m.address = std::to_string(i);
                m.data_centre = std::to_string(s.data_centre);
                m.incarnation = s.incarnation;
                m.state = s.up ? member_state::ready : member_state::left;
                members.push_back(std::move(m));
            }
        }
        for (auto& s : servers_) {
            s.balancers[service]->set_members(members);
        }
    }
}

void simulator::push(double delay, event e)
{
    e.time = now_ + std::max<std::int64_t>(0, std::llround(delay * 1e9));
    e.sequence = next_sequence_++;
    events_.push(e);
}

double simulator::network_delay(index from, index to) const
{
    return servers_[from].data_centre == servers_[to].data_centre ? intra_data_centre_delay
                                                                  : inter_data_centre_delay;
}

importance simulator::level_of(const caller_request& r) const
{
    return policy_.importance_classes ? route_of(r).level : importance::normal;
}

bool simulator::in_trigger(double at) const
{
    for (int i = 0; i < 2; ++i) {
        if (at >= scenario_.start_of(i) && at < scenario_.end_of(i)) {
            return true;
        }
    }
    return false;
}

void simulator::on_tick(index s)
{
    servers_[s].ticking = false;
    poll_admission(s);
}

void simulator::poll_admission(index s)
{
    auto& node = servers_[s];
    if (!policy_.admission) {
        return;
    }
    const auto events = node.admission->poll(now());
    for (const auto id : events.start) {
        start_in_target(static_cast<index>(id));
    }
    for (const auto& r : events.refuse) {
        answer(static_cast<index>(r.id), call_result::refused, r.reason == refusal_reason::deadline);
    }
    if (!node.ticking && node.admission->load(now()).queued > 0) {
        node.ticking = true;
        push(tick_interval, {.kind = event_kind::tick, .a = s});
    }
}

void simulator::dispatch(const event& e)
{
    const bool on_call = e.kind == event_kind::deliver || e.kind == event_kind::work_done ||
                         e.kind == event_kind::answer || e.kind == event_kind::hop_timeout ||
                         e.kind == event_kind::crash;
    if (on_call && calls_[e.a].generation != e.generation) {
        return;
    }
    switch (e.kind) {
    case event_kind::arrival:
        return on_arrival(e.a);
    case event_kind::attempt:
        return on_attempt(e.a);
    case event_kind::caller_retry:
        return start_attempt(e.a);
    case event_kind::attempt_timed_out:
        return on_attempt_timeout(e.a, e.b);
    case event_kind::reply:
        return on_reply(e.a, e.b, e.c != 0);
    case event_kind::deliver:
        return on_deliver(e.a);
    case event_kind::work_done:
        return on_work_done(e.a);
    case event_kind::answer:
        return on_answer(e.a);
    case event_kind::hop_timeout:
        return on_hop_timeout(e.a);
    case event_kind::tick:
        return on_tick(e.a);
    case event_kind::crash:
        return on_crash(e.a);
    case event_kind::change:
        return on_change(e.a, static_cast<server_change>(e.b));
    }
}

outcome_counts simulator::run()
{
    const auto end = std::llround(scenario_.end() * 1e9);
    while (!events_.empty() && events_.top().time < end) {
        const event e = events_.top();
        events_.pop();
        now_ = e.time;
        dispatch(e);
    }
    counts_.goodput /= 2 * (scenario_.duration - 1);
    return std::move(counts_);
}

} // namespace wagtailhatch::bench
