#include "include/routing/balancer.h"

#include <algorithm>
#include <utility>

namespace wagtailhatch {
namespace {

constexpr int max_draws = 8;
// Minimum advantage in utilisation of another data centre, because of the longer round trip.
constexpr double spillover_margin = 0.05;
// Lifetime of the cached mean over all targets: computing it for each request took 3 us with 500 targets.
constexpr duration pressure_cache_lifetime = std::chrono::milliseconds{5};
// Lifetime of means and sums over all targets. Estimates of single targets are computed for each request.
constexpr duration load_cache_lifetime = std::chrono::milliseconds{20};
// Targets compared for one request, and if the best of these is already well utilised. A target whose reports
// show too little load gets at most this multiple of its share.
constexpr std::size_t load_samples = 2;
constexpr std::size_t max_load_samples = 3;
constexpr double well_utilised = 0.9;
constexpr std::size_t max_routes = 1000;
// A target in need names its limit in every response, so an older one no longer holds.
constexpr duration rate_limit_lifetime = std::chrono::seconds{10};
// Downstream services see the calls of a request one importance class above the request itself.
constexpr double call_class_distance = 1;

} // namespace

balancer::balancer(balancer_options options, random_source& random)
    : options_{std::move(options)}
    , random_{random}
    , shedder_{options_.shedding, random}
    , spillover_{options_.spill}
{
}

void balancer::set_members(std::span<const member> members)
{
    std::vector<entry> next;
    next.reserve(members.size());
    for (const auto& m : members) {
        const auto* known = find(m.id);
        if (known != nullptr && known->info.incarnation == m.incarnation) {
            next.push_back({m, known->view});
        }
        else {
            next.push_back({m, target_view{options_.view}});
        }
    }
    entries_ = std::move(next);
    pressure_time_ = {};
    by_id_.clear();
    local_indices_.clear();
    remote_indices_.clear();
    for (std::uint32_t i = 0; i < entries_.size(); ++i) {
        const auto& m = entries_[i].info;
        by_id_.emplace(m.id, i);
        const bool own = !options_.prefer_own_data_centre || m.data_centre == options_.data_centre;
        (own ? local_indices_ : remote_indices_).push_back(i);
    }
    update_data_centres();
}

void balancer::update_data_centres()
{
    std::vector<std::string> names{options_.data_centre};
    data_centre_of_.assign(entries_.size(), 0);
    for (const auto i : remote_indices_) {
        const auto& name = entries_[i].info.data_centre;
        const auto known = std::find(names.begin() + 1, names.end(), name);
        data_centre_of_[i] = static_cast<std::uint32_t>(known - names.begin());
        if (known == names.end()) {
            names.push_back(name);
        }
    }
    spillover_.set_data_centres(std::move(names));
    load_time_ = {};
}

void balancer::update_load(steady_time now)
{
    std::vector<load_candidate> usable;
    usable.reserve(entries_.size());
    for (std::uint32_t i = 0; i < entries_.size(); ++i) {
        if (may_use(entries_[i], now, {}, !options_.ejection)) {
            usable.push_back({&entries_[i].view.estimate(), i, data_centre_of_[i]});
        }
    }
    load_.update(usable, spillover_.size(), now);
    if (load_.known()) {
        spillover_.update(load_.data_centres(), load_.service_time(), now);
    }
    load_time_ = now;
}

const service_load* balancer::estimated_load(steady_time now)
{
    if (!options_.estimate_load || last_pace_ == steady_time{} ||
        now - last_pace_ >= options_.view.max_report_age) {
        return nullptr;
    }
    if (load_time_ == steady_time{} || now - load_time_ >= load_cache_lifetime) {
        update_load(now);
    }
    return load_.known() ? &load_ : nullptr;
}

bool balancer::has_room_beside(std::string_view id, steady_time now)
{
    const auto* load = estimated_load(now);
    const auto found = by_id_.find(id);
    return load != nullptr && found != by_id_.end() && load->room_beside(found->second);
}

std::size_t balancer::choose_data_centre(const service_load& load, bool again)
{
    if (again) {
        return spillover_.choose_for_retry(load.data_centres());
    }
    return spillover_.leaving() > 0 ? spillover_.choose(random_.unit()) : 0;
}

balancer::entry* balancer::choose_by_load(steady_time now, const request_profile& request,
                                          std::span<const std::string> exclude)
{
    const auto* load = estimated_load(now);
    if (load == nullptr) {
        return nullptr;
    }
    const auto data_centre = choose_data_centre(*load, !exclude.empty());
    const auto targets = load->targets(data_centre);
    entry* best = nullptr;
    double best_cost = 0;
    const auto compare = [&](std::uint32_t index) {
        auto& e = entries_[index];
        if (&e == best || !may_use(e, now, exclude, !options_.ejection)) {
            return false;
        }
        const double cost = load->cost(e.view.estimate(), data_centre, request, now) + e.view.penalty();
        if (best == nullptr || cost < best_cost) {
            best = &e;
            best_cost = cost;
        }
        return true;
    };
    const auto needs_sample = [&](std::size_t compared) {
        return compared < load_samples ||
               (compared < max_load_samples &&
                load->utilisation(best->view.estimate(), data_centre, now) > well_utilised);
    };
    std::size_t compared = 0;
    for (int draw = 0; draw < max_draws && targets.size() > load_samples && needs_sample(compared); ++draw) {
        compared += compare(load->sample(data_centre, random_.unit())) ? 1 : 0;
    }
    if (best == nullptr) {
        std::for_each(targets.begin(), targets.end(), compare);
    }
    return best;
}

balancer::entry* balancer::find(std::string_view id)
{
    const auto it = by_id_.find(id);
    return it == by_id_.end() ? nullptr : &entries_[it->second];
}

void balancer::set_evacuated(std::span<const evacuated_data_centre> evacuated)
{
    evacuated_.assign(evacuated.begin(), evacuated.end());
    pressure_time_ = {};
}

bool balancer::evacuated(const entry& e, steady_time now) const
{
    const auto& name = e.info.data_centre;
    if (std::find(limits_.evacuated.begin(), limits_.evacuated.end(), name) != limits_.evacuated.end()) {
        return true;
    }
    return std::any_of(evacuated_.begin(), evacuated_.end(), [&](const evacuated_data_centre& d) {
        const double share = d.name == name ? d.share(now) : 0;
        return share >= 1 || share > shift_position_;
    });
}

bool balancer::allowed(const entry& e) const
{
    return limits_.allowed == nullptr || limits_.allowed->find(e.info.data_centre) != limits_.allowed->end();
}

bool balancer::may_use(const entry& e, steady_time now, std::span<const std::string> exclude,
                       bool ignore_ejection) const
{
    if (e.info.state != member_state::ready || e.view.leaving() ||
        (!ignore_ejection && e.view.ejected(now)) || !allowed(e) || evacuated(e, now)) {
        return false;
    }
    return std::find(exclude.begin(), exclude.end(), e.info.id) == exclude.end();
}

double balancer::score(const entry& e, steady_time now) const
{
    return e.view.score(now, options_.use_reports);
}

balancer::entry* balancer::scan(const std::vector<std::uint32_t>& from, steady_time now,
                                std::span<const std::string> exclude, bool ignore_ejection)
{
    entry* best = nullptr;
    for (const auto i : from) {
        auto& e = entries_[i];
        if (may_use(e, now, exclude, ignore_ejection) &&
            (best == nullptr || score(e, now) < score(*best, now))) {
            best = &e;
        }
    }
    return best;
}

balancer::entry* balancer::choose(const std::vector<std::uint32_t>& from, steady_time now,
                                  std::span<const std::string> exclude, bool ignore_ejection)
{
    if (from.size() < 2 || !options_.two_choices) {
        return choose_random(from, now, exclude, ignore_ejection);
    }
    entry* single = nullptr;
    for (int draw = 0; draw < max_draws; ++draw) {
        const auto i = random_.below(from.size());
        const auto j = random_.below(from.size() - 1);
        auto* a = &entries_[from[i]];
        auto* b = &entries_[from[j + (j >= i ? 1 : 0)]];
        a = may_use(*a, now, exclude, ignore_ejection) ? a : nullptr;
        b = may_use(*b, now, exclude, ignore_ejection) ? b : nullptr;
        if (a != nullptr && b != nullptr) {
            return score(*b, now) < score(*a, now) ? b : a;
        }
        single = a != nullptr ? a : (b != nullptr ? b : single);
    }
    return single != nullptr ? single : scan(from, now, exclude, ignore_ejection);
}

balancer::entry* balancer::choose_random(const std::vector<std::uint32_t>& from, steady_time now,
                                         std::span<const std::string> exclude, bool ignore_ejection)
{
    for (int draw = 0; draw < max_draws && !from.empty(); ++draw) {
        auto& e = entries_[from[random_.below(from.size())]];
        if (may_use(e, now, exclude, ignore_ejection)) {
            return &e;
        }
    }
    return scan(from, now, exclude, ignore_ejection);
}

balancer::entry* balancer::choose_across_data_centres(steady_time now, std::span<const std::string> exclude,
                                                      bool ignore_ejection)
{
    auto* local_choice = choose(local_indices_, now, exclude, ignore_ejection);
    if (local_choice != nullptr && score(*local_choice, now) < options_.spillover_threshold) {
        return local_choice;
    }
    auto* remote_choice = choose(remote_indices_, now, exclude, ignore_ejection);
    if (local_choice == nullptr || remote_choice == nullptr) {
        return local_choice == nullptr ? remote_choice : local_choice;
    }
    return score(*remote_choice, now) + spillover_margin < score(*local_choice, now) ? remote_choice
                                                                                     : local_choice;
}

balancer::entry* balancer::choose_or_use_ejected(steady_time now, const request_profile& request,
                                                 std::span<const std::string> exclude)
{
    auto* chosen = choose_by_load(now, request, exclude);
    if (chosen == nullptr) {
        chosen = choose_across_data_centres(now, exclude, !options_.ejection);
    }
    return chosen != nullptr ? chosen : choose_across_data_centres(now, exclude, true);
}

pick_result balancer::pick(steady_time now, std::span<const std::string> exclude,
                           const placement_limits& limits)
{
    return pick(now, request_profile{}, exclude, limits);
}

pick_result balancer::pick(steady_time now, const request_profile& request,
                           std::span<const std::string> exclude, const placement_limits& limits)
{
    // Refreshes the aggregates before the limits of this request are set: they do not depend on the request.
    estimated_load(now);
    limits_ = limits;
    const bool shifting =
        std::any_of(evacuated_.begin(), evacuated_.end(), [now](const auto& d) { return now < d.complete; });
    shift_position_ = shifting ? random_.unit() : 1;
    const auto* chosen = choose_or_use_ejected(now, request, exclude);
    if (chosen == nullptr && std::exchange(shift_position_, 1) < 1) {
        // No other data centre can serve the request, and the evacuation is not complete.
        chosen = choose_or_use_ejected(now, request, exclude);
    }
    shift_position_ = 1;
    const auto reason = chosen == nullptr ? reason_without_target(now) : refusal_reason::none;
    limits_ = {};
    return {chosen == nullptr ? nullptr : &chosen->info, reason};
}

refusal_reason balancer::reason_without_target(steady_time now) const
{
    const auto any = [this](const auto& condition) {
        return std::any_of(entries_.begin(), entries_.end(), condition);
    };
    if (any([&](const entry& e) {
            return e.info.state == member_state::ready && allowed(e) && evacuated(e, now);
        })) {
        return refusal_reason::evacuated;
    }
    if (any([&](const entry& e) {
            return allowed(e) && (e.view.leaving() || e.info.state == member_state::leaving);
        })) {
        return refusal_reason::leaving;
    }
    return any([&](const entry& e) { return !allowed(e); }) ? refusal_reason::outside_regions
                                                            : refusal_reason::no_target;
}

void balancer::on_sent(std::string_view id, steady_time now)
{
    if (auto* e = find(id)) {
        e->view.on_sent(now);
    }
}

void balancer::on_answer(std::string_view id, const load_report& report, const answer_info& info,
                         steady_time now)
{
    if (auto* e = find(id)) {
        e->view.on_answer(report, info.result, now);
        last_pace_ = report.pace > 0 ? now : last_pace_;
    }
    record_rate_limit(id, report.rate_limit, info.result, now);
    auto it = paths_.find(info.route);
    if (it == paths_.end()) {
        if (paths_.size() >= max_routes) {
            paths_.clear();
        }
        it = paths_.emplace(std::string{info.route}, path_state{}).first;
    }
    it->second.level = report.path;
    it->second.updated = now;
    it->second.called_by_own_target |= info.depth > 0;
}

void balancer::record_rate_limit(std::string_view id, double per_second, call_result result, steady_time now)
{
    if (per_second > 0) {
        std::erase_if(rate_limits_,
                      [&](const auto& known) { return now - known.second.reported > rate_limit_lifetime; });
        rate_limits_[std::string{id}] = {per_second, now};
        return;
    }
    // A refusal may come from a node that has restarted and heard nothing from its target yet.
    const bool from_target = result == call_result::answered || result == call_result::failed;
    const auto found = rate_limits_.find(id);
    if (from_target && found != rate_limits_.end()) {
        rate_limits_.erase(found);
    }
}

double balancer::known_rate_limit(std::string_view id, steady_time now) const
{
    const auto found = rate_limits_.find(id);
    const bool usable = found != rate_limits_.end() && now - found->second.reported <= rate_limit_lifetime;
    return usable ? found->second.per_second : 0;
}

bool balancer::may_eject(steady_time now) const
{
    const auto ejected = static_cast<std::size_t>(std::count_if(
        entries_.begin(), entries_.end(), [now](const entry& e) { return e.view.ejected(now); }));
    return (ejected + 1) * 2 <= entries_.size();
}

void balancer::on_failure(std::string_view id, attempt_failure failure, steady_time now)
{
    if (auto* e = find(id)) {
        e->view.on_failure(failure, may_eject(now), now);
    }
}

void balancer::on_report(std::string_view id, const load_report& report, steady_time now)
{
    if (auto* e = find(id)) {
        e->view.on_report(report, now);
        last_pace_ = report.pace > 0 ? now : last_pace_;
        record_rate_limit(id, report.rate_limit, call_result::refused, now);
    }
}

void balancer::update_own_pressure(steady_time now) const
{
    if (now - pressure_time_ < pressure_cache_lifetime) {
        return;
    }
    pressure_time_ = now;
    double sum = 0;
    double for_calls = 0;
    double least_shares = 0;
    double count = 0;
    for (const auto& e : entries_) {
        if (!may_use(e, now, {}, false)) {
            continue;
        }
        const auto level = e.view.own_level(now);
        const bool equal_shares = e.view.pace_known();
        sum += level.value();
        // The entry raises the level for calls by the same distance, so that chains are admitted by the
        // fraction of the requests.
        for_calls += level.value() - (equal_shares ? call_class_distance : 0);
        // A level that admits everything states no least share.
        least_shares += level.all() && equal_shares ? admit_level::max_least_share : level.least_share();
        count += 1;
    }
    const bool all = count == 0 || admit_level{sum / count}.all();
    own_pressure_ = all ? admit_level{} : admit_level{sum / count, least_shares / count};
    own_call_pressure_ = all ? admit_level{} : admit_level{for_calls / count, least_shares / count};
}

admit_level balancer::own_pressure(steady_time now) const
{
    update_own_pressure(now);
    return own_pressure_;
}

admit_level balancer::own_call_pressure(steady_time now) const
{
    update_own_pressure(now);
    return own_call_pressure_;
}

admit_level balancer::pressure(std::string_view route, steady_time now) const
{
    const auto it = paths_.find(route);
    const auto own = own_call_pressure(now);
    return it == paths_.end() ? own : min(own, aged_level(it->second.level, now - it->second.updated));
}

admit_level balancer::entry_pressure(std::string_view route, steady_time now) const
{
    const auto it = paths_.find(route);
    const auto own = own_pressure(now);
    if (it == paths_.end()) {
        return own;
    }
    const auto below = aged_level(it->second.level, now - it->second.updated);
    return min(own, below.raised(call_class_distance));
}

admit_level balancer::path_pressure(std::string_view route, steady_time now, admit_level calls) const
{
    const auto it = paths_.find(route);
    if (it == paths_.end() || !it->second.called_by_own_target) {
        return {};
    }
    return min(pressure(route, now), calls).raised(pressure_relaxation_per_hop);
}

bool balancer::should_shed(std::string_view route, importance level, std::string_view workspace,
                           steady_time now)
{
    return shedder_.should_shed(level, workspace, entry_pressure(route, now), now);
}

std::size_t balancer::usable(steady_time now, const placement_limits& limits)
{
    limits_ = limits;
    const auto count = std::count_if(entries_.begin(), entries_.end(),
                                     [&](const entry& e) { return may_use(e, now, {}, false); });
    limits_ = {};
    return static_cast<std::size_t>(count);
}

} // namespace wagtailhatch
