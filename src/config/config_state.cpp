#include "include/config/config_state.h"

#include <algorithm>
#include <utility>

namespace wagtailhatch {
namespace {

// Enough for 30 minutes of the two-year size (0.4 changes/s of 200 bytes each); a node that is further behind
// takes whole documents.
constexpr std::size_t max_steps_size = std::size_t{256} * 1024;
constexpr std::size_t step_overhead = 64;

std::size_t size_of(const config_step& step)
{
    std::size_t size = step_overhead;
    for (const auto& patch : step.patches) {
        size += patch.name.size() + patch.middle.size() + step_overhead;
    }
    return size;
}

bool apply_steps(document_set& documents, const std::vector<config_step>& steps, std::uint64_t from,
                 std::uint64_t to)
{
    auto version = from;
    for (const auto& step : steps) {
        if (step.to != ++version) {
            return false;
        }
        for (const auto& patch : step.patches) {
            if (!apply_patch(documents[patch.name], patch) ||
                documents[patch.name].size() > max_document_size) {
                return false;
            }
        }
    }
    return version == to;
}

} // namespace

std::vector<std::string> config_state::missing(const config_head& head) const
{
    std::vector<std::string> names;
    for (const auto& [name, document] : head.documents) {
        const auto held = head_.documents.find(name);
        if (held == head_.documents.end() || held->second.hash != document.hash) {
            names.push_back(name);
        }
    }
    return names;
}

/// Takes the documents of the head out of the candidates. The content of those that did not change is known.
apply_result config_state::commit(const config_head& head, document_set candidate,
                                  std::vector<config_step> steps)
{
    document_set documents;
    const auto changed = missing(head);
    for (const auto& [name, document] : head.documents) {
        const auto found = candidate.find(name);
        if (found == candidate.end()) {
            return apply_result::incomplete;
        }
        const bool is_new = std::find(changed.begin(), changed.end(), name) != changed.end();
        if (is_new && content_hash(found->second) != document.hash) {
            return apply_result::wrong_content;
        }
        documents[name] = is_new ? std::move(found->second) : documents_.at(name);
    }
    head_ = head;
    documents_ = std::move(documents);
    remember(std::move(steps));
    return apply_result::applied;
}

apply_result config_state::apply(const config_head& head, const std::map<std::string, std::string>& texts)
{
    if (head.version <= head_.version) {
        return apply_result::not_newer;
    }
    auto candidate = documents_;
    for (const auto& name : missing(head)) {
        const auto text = texts.find(name);
        if (text == texts.end()) {
            return apply_result::incomplete;
        }
        candidate[name] = text->second;
    }
    std::vector<config_step> steps;
    if (head.version == head_.version + 1 && head_.version != 0) {
        steps.push_back({head.version, make_patches(documents_, candidate)});
    }
    return commit(head, std::move(candidate), std::move(steps));
}

apply_result config_state::apply(const config_delta& delta)
{
    if (delta.head.version <= head_.version) {
        return apply_result::not_newer;
    }
    if (delta.steps.empty()) {
        return apply(delta.head, delta.full);
    }
    if (delta.from != head_.version) {
        return apply_result::incomplete;
    }
    auto candidate = documents_;
    if (!apply_steps(candidate, delta.steps, delta.from, delta.head.version)) {
        return apply_result::wrong_content;
    }
    return commit(delta.head, std::move(candidate), delta.steps);
}

config_delta config_state::delta_since(std::uint64_t version) const
{
    config_delta delta;
    delta.from = version;
    delta.head = head_;
    if (version >= head_.version) {
        return delta;
    }
    std::size_t full_size = 0;
    for (const auto& [name, document] : head_.documents) {
        full_size += document.changed > version ? documents_.at(name).size() : 0;
    }
    const auto first = std::find_if(steps_.begin(), steps_.end(),
                                    [&](const config_step& step) { return step.to == version + 1; });
    std::size_t steps_size = 0;
    for (auto step = first; step != steps_.end(); ++step) {
        steps_size += size_of(*step);
    }
    if (first != steps_.end() && steps_size <= full_size) {
        delta.steps.assign(first, steps_.end());
        return delta;
    }
    for (const auto& [name, document] : head_.documents) {
        if (document.changed > version) {
            delta.full[name] = documents_.at(name);
        }
    }
    return delta;
}

void config_state::remember(std::vector<config_step> steps)
{
    if (steps.empty()) {
        steps_.clear();
        steps_size_ = 0;
    }
    for (auto& step : steps) {
        steps_size_ += size_of(step);
        steps_.push_back(std::move(step));
    }
    while (steps_size_ > max_steps_size) {
        steps_size_ -= size_of(steps_.front());
        steps_.pop_front();
    }
}

} // namespace wagtailhatch
