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

request_queue::flow& request_queue::flow_of(class_queue& c, std::uint32_t workspace)
{
    if (c.flows.size() <= workspace) {
        c.flows.resize(workspace + 1);
    }
    c.flows[workspace].workspace = workspace;
    return c.flows[workspace];
}

void request_queue::push(const queued_request& request, std::string_view workspace)
{
    auto& c = classes_.at(static_cast<std::size_t>(request.level));
    const auto index = index_of(workspace);
    auto& f = flow_of(c, index);
    f.entries.push_back(request);
    if (!f.active) {
        f.active = true;
        f.start_tag = std::max(f.start_tag, c.virtual_time);
        c.rotation.push_back(index);
    }
    locations_[request.id] = {static_cast<std::uint8_t>(request.level), index};
    ++c.size;
    ++size_;
}

void request_queue::deactivate_if_empty(class_queue& c, flow& f)
{
    if (f.entries.empty() && f.active) {
        f.active = false;
        c.rotation.erase(std::find(c.rotation.begin(), c.rotation.end(), f.workspace));
    }
}

request_queue::flow* request_queue::next_flow(class_queue& c)
{
    const auto it = std::min_element(c.rotation.begin(), c.rotation.end(), [&c](auto a, auto b) {
        return c.flows[a].start_tag < c.flows[b].start_tag;
    });
    return &c.flows[*it];
}

std::optional<queued_request> request_queue::pop()
{
    for (auto& c : classes_) {
        if (c.size == 0) {
            continue;
        }
        auto& f = *next_flow(c);
        const queued_request request = f.entries.front();
        f.entries.pop_front();
        c.virtual_time = f.start_tag;
        f.start_tag += 1 / weight_of(f.workspace);
        deactivate_if_empty(c, f);
        locations_.erase(request.id);
        --c.size;
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
    auto& c = classes_.at(it->second.first);
    auto& f = c.flows[it->second.second];
    f.entries.erase(
        std::find_if(f.entries.begin(), f.entries.end(), [id](const auto& e) { return e.id == id; }));
    locations_.erase(it);
    --c.size;
    --size_;
    deactivate_if_empty(c, f);
    return true;
}

request_queue::flow* request_queue::heaviest_flow(class_queue& c)
{
    // The first entry of a flow is not counted: in a small workspace a single entry already exceeds the fair
    // share, and small workspaces would be evicted first.
    const auto load = [this, &c](std::uint32_t i) {
        return static_cast<double>(c.flows[i].entries.size() - 1) / weight_of(i);
    };
    const auto it = std::max_element(c.rotation.begin(), c.rotation.end(),
                                     [&](auto a, auto b) { return load(a) < load(b); });
    return it == c.rotation.end() ? nullptr : &c.flows[*it];
}

std::optional<queued_request> request_queue::evict_for(importance level, std::string_view workspace)
{
    const auto own_class = static_cast<std::size_t>(level);
    std::size_t victim_class = importance_count;
    for (std::size_t i = importance_count; i-- > own_class;) {
        if (classes_.at(i).size > 0) {
            victim_class = i;
            break;
        }
    }
    if (victim_class == importance_count) {
        return std::nullopt;
    }
    auto& c = classes_.at(victim_class);
    auto* f = heaviest_flow(c);
    if (victim_class == own_class) {
        const auto index = index_of(workspace);
        auto& own = flow_of(c, index);
        f = heaviest_flow(c); // flow_of() may have reallocated the flows.
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

void request_queue::update_standing(class_queue& c, steady_time now)
{
    auto oldest = now;
    for (const auto index : c.rotation) {
        oldest = std::min(oldest, c.flows[index].entries.front().enqueued);
    }
    if (now - oldest > options_.target_wait) {
        if (c.above_since == steady_time{}) {
            c.above_since = now;
        }
        c.last_above = now;
        c.standing = c.standing || now - c.above_since >= options_.interval;
    }
    else if (!c.standing || now - c.last_above > options_.interval) {
        c.standing = false;
        c.above_since = {};
    }
}

void request_queue::sweep_flow(class_queue& c, flow& f, steady_time now, duration service_time,
                               std::vector<queued_request>& expired, std::vector<queued_request>& aged)
{
    const auto oldest_allowed = now - options_.target_wait * max_age_factor;
    const bool drop_old = c.standing && options_.drop_aged;
    const auto leaves = [&](const queued_request& e) {
        if (e.deadline <= now + service_time) {
            expired.push_back(e);
        }
        else if (drop_old && e.enqueued < oldest_allowed) {
            aged.push_back(e);
        }
        else {
            return false;
        }
        locations_.erase(e.id);
        return true;
    };
    const auto removed = std::erase_if(f.entries, leaves);
    c.size -= removed;
    size_ -= removed;
}

void request_queue::sweep(steady_time now, duration service_time, std::vector<queued_request>& expired,
                          std::vector<queued_request>& aged)
{
    for (auto& c : classes_) {
        update_standing(c, now);
        for (const auto index : c.rotation) {
            sweep_flow(c, c.flows[index], now, service_time, expired, aged);
        }
        std::erase_if(c.rotation, [&c](std::uint32_t index) {
            auto& f = c.flows[index];
            f.active = !f.entries.empty();
            return !f.active;
        });
    }
}

bool request_queue::standing() const
{
    return std::any_of(classes_.begin(), classes_.end(), [](const auto& c) { return c.standing; });
}

std::vector<queued_request> request_queue::clear()
{
    std::vector<queued_request> all;
    for (auto& c : classes_) {
        for (auto& f : c.flows) {
            all.insert(all.end(), f.entries.begin(), f.entries.end());
            f.entries.clear();
            f.active = false;
        }
        c.rotation.clear();
        c.size = 0;
        c.standing = false;
        c.above_since = {};
    }
    locations_.clear();
    size_ = 0;
    return all;
}

} // namespace wagtailhatch
