#include "include/admission/request_queue.h"

#include <algorithm>

namespace wagtailhatch {
namespace {

// In a standing queue, entries older than this multiple of the target wait are dropped.
constexpr int max_age_factor = 2;

} // namespace

request_queue::request_queue(request_queue_options options)
    : options_{options}
{
}

std::uint32_t request_queue::index_of(std::string_view workspace)
{
    if (!options_.fair) {
        workspace = {};
    }
    if (const auto it = index_.find(workspace); it != index_.end()) {
        return it->second;
    }
    const auto index = static_cast<std::uint32_t>(weights_.size());
    weights_.push_back(1.0);
    index_.emplace(std::string{workspace}, index);
    return index;
}

void request_queue::set_weight(std::string_view workspace, double weight)
{
    const auto index = index_of(workspace);
    weights_.at(index) = options_.fair ? std::max(weight, 1e-6) : 1.0;
}

request_queue::flow& request_queue::flow_of(lane& l, std::uint32_t workspace)
{
    if (l.flows.size() <= workspace) {
        l.flows.resize(workspace + 1);
    }
    l.flows[workspace].workspace = workspace;
    return l.flows[workspace];
}

void request_queue::push(const queued_request& request, std::string_view workspace)
{
    push_to_flow(request, index_of(workspace));
}

void request_queue::push_to_flow(const queued_request& request, std::uint32_t workspace)
{
    const auto lane_index = lane_of(request.level, request.late);
    auto& l = lanes_.at(lane_index);
    auto& f = flow_of(l, workspace);
    f.entries.push_back(request);
    if (!f.active) {
        f.active = true;
        f.start_tag = std::max(f.start_tag, l.virtual_time);
        l.rotation.push_back(workspace);
    }
    locations_[request.id] = {static_cast<std::uint8_t>(lane_index), workspace};
    ++l.size;
    ++size_;
}

void request_queue::deactivate_if_empty(lane& l, flow& f)
{
    if (f.entries.empty() && f.active) {
        f.active = false;
        l.rotation.erase(std::find(l.rotation.begin(), l.rotation.end(), f.workspace));
    }
}

request_queue::flow* request_queue::next_flow(lane& l)
{
    const auto it = std::min_element(l.rotation.begin(), l.rotation.end(), [&l](auto a, auto b) {
        return l.flows[a].start_tag < l.flows[b].start_tag;
    });
    return &l.flows[*it];
}

std::optional<queued_request> request_queue::pop()
{
    for (auto& l : lanes_) {
        if (l.size == 0) {
            continue;
        }
        auto& f = *next_flow(l);
        const queued_request request = f.entries.front();
        f.entries.pop_front();
        l.virtual_time = f.start_tag;
        f.start_tag += 1 / weight_of(f.workspace);
        deactivate_if_empty(l, f);
        locations_.erase(request.id);
        --l.size;
        --size_;
        return request;
    }
    return std::nullopt;
}

bool request_queue::remove(std::uint64_t id)
{
    const auto it = locations_.find(id);
    if (it == locations_.end()) {
        return false;
    }
    auto& l = lanes_.at(it->second.first);
    auto& f = l.flows[it->second.second];
    f.entries.erase(
        std::find_if(f.entries.begin(), f.entries.end(), [id](const auto& e) { return e.id == id; }));
    locations_.erase(it);
    --l.size;
    --size_;
    deactivate_if_empty(l, f);
    return true;
}

request_queue::flow* request_queue::heaviest_flow(lane& l)
{
    // The first entry of a flow is not counted: in a small workspace a single entry already exceeds the fair
    // share, and small workspaces would be evicted first.
    const auto load = [this, &l](std::uint32_t i) {
        return static_cast<double>(l.flows[i].entries.size() - 1) / weight_of(i);
    };
    const auto it = std::max_element(l.rotation.begin(), l.rotation.end(),
                                     [&](auto a, auto b) { return load(a) < load(b); });
    return it == l.rotation.end() ? nullptr : &l.flows[*it];
}

std::size_t request_queue::size_ahead(importance level, bool late) const
{
    std::size_t ahead = 0;
    for (std::size_t i = 0; i <= lane_of(level, late); ++i) {
        ahead += lanes_.at(i).size;
    }
    return ahead;
}

std::optional<queued_request> request_queue::evict_for(importance level, std::string_view workspace,
                                                       bool late)
{
    const auto own_lane = lane_of(level, late);
    std::size_t victim_lane = lanes_.size();
    for (std::size_t i = lanes_.size(); i-- > own_lane;) {
        if (lanes_.at(i).size > 0) {
            victim_lane = i;
            break;
        }
    }
    if (victim_lane == lanes_.size()) {
        return std::nullopt;
    }
    auto& l = lanes_.at(victim_lane);
    auto* f = heaviest_flow(l);
    if (victim_lane == own_lane) {
        const auto index = index_of(workspace);
        auto& own = flow_of(l, index);
        f = heaviest_flow(l); // flow_of() may have reallocated the flows.
        const double own_load = static_cast<double>(own.entries.size()) / weight_of(index);
        const double most = static_cast<double>(f->entries.size() - 1) / weight_of(f->workspace);
        if (own_load >= most) {
            return std::nullopt;
        }
    }
    const queued_request victim = f->entries.back();
    remove(victim.id);
    return victim;
}

void request_queue::update_standing(lane& l, steady_time now)
{
    auto oldest = now;
    for (const auto index : l.rotation) {
        oldest = std::min(oldest, l.flows[index].entries.front().enqueued);
    }
    if (now - oldest > options_.target_wait) {
        if (l.above_since == steady_time{}) {
            l.above_since = now;
        }
        l.last_above = now;
        l.standing = l.standing || now - l.above_since >= options_.interval;
    }
    else if (!l.standing || now - l.last_above > options_.interval) {
        l.standing = false;
        l.above_since = {};
    }
}

void request_queue::sweep_flow(lane& l, flow& f, steady_time now, duration service_time, sweep_result& out)
{
    const auto oldest_allowed = now - options_.target_wait * max_age_factor;
    const auto leaves = [&](const queued_request& e) {
        const auto answered = now + (e.service_time > duration{} ? e.service_time : service_time);
        const bool drop_old = e.late || (l.standing && options_.drop_aged);
        if (e.deadline <= answered) {
            out.expired.push_back(e);
        }
        else if (drop_old && e.enqueued < oldest_allowed) {
            out.aged.push_back(e);
        }
        else if (!e.late && e.soft_deadline != steady_time{} && e.soft_deadline <= answered) {
            out.late.emplace_back(e, f.workspace);
        }
        else {
            return false;
        }
        locations_.erase(e.id);
        return true;
    };
    const auto removed = std::erase_if(f.entries, leaves);
    l.size -= removed;
    size_ -= removed;
}

void request_queue::sweep_lane(lane& l, steady_time now, duration service_time, sweep_result& out)
{
    for (const auto index : l.rotation) {
        sweep_flow(l, l.flows[index], now, service_time, out);
    }
    std::erase_if(l.rotation, [&l](std::uint32_t index) {
        auto& f = l.flows[index];
        f.active = !f.entries.empty();
        return !f.active;
    });
}

void request_queue::sweep(steady_time now, duration service_time, std::vector<queued_request>& expired,
                          std::vector<queued_request>& aged)
{
    sweep_result out{expired, aged};
    for (auto& l : lanes_) {
        update_standing(l, now);
        sweep_lane(l, now, service_time, out);
    }
    for (auto& [request, workspace] : out.late) {
        request.late = true;
        request.enqueued = now;
        push_to_flow(request, workspace);
    }
}

bool request_queue::standing() const
{
    return std::any_of(lanes_.begin(), lanes_.end(), [](const auto& l) { return l.standing; });
}

std::vector<queued_request> request_queue::clear()
{
    std::vector<queued_request> all;
    for (auto& l : lanes_) {
        for (auto& f : l.flows) {
            all.insert(all.end(), f.entries.begin(), f.entries.end());
            f.entries.clear();
            f.active = false;
        }
        l.rotation.clear();
        l.size = 0;
        l.standing = false;
        l.above_since = {};
    }
    locations_.clear();
    size_ = 0;
    return all;
}

} // namespace wagtailhatch
