#include "include/membership/evacuation.h"

#include "include/observe/logging.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace wagtailhatch {
namespace {

// Part of the evacuation time over which the load is shifted. The rest allows for the propagation
// delay: a change of the store's readers adds up to two seconds.
constexpr double shift_fraction = 0.4;

} // namespace

double evacuated_data_centre::share(steady_time now) const
{
    if (now >= complete) {
        return 1;
    }
    return now <= begun ? 0 : to_seconds(now - begun) / to_seconds(complete - begun);
}

evacuation_state::evacuation_state(duration evacuate_time)
    : evacuate_time_{evacuate_time}
    , shift_time_{std::chrono::duration_cast<duration>(evacuate_time * shift_fraction)}
{
}

std::optional<steady_time> evacuation_state::hold(const evacuated_data_centre& e, bool store_returned,
                                                  steady_time now) const
{
    if (store_returned) {
        return now + evacuate_time_;
    }
    return e.held_until && now < *e.held_until ? e.held_until : std::nullopt;
}

evacuation_change evacuation_state::merge(const evacuation_set& offered, bool at_once, steady_time now)
{
    evacuation_change change;
    if (offered.as_of() <= known_.as_of()) {
        return change;
    }
    const bool store_returned = known_.version > 0 && offered.era > known_.era;
    evacuation_seen_ = evacuation_seen_ || !offered.data_centres.empty();
    known_ = offered;
    std::vector<evacuated_data_centre> next;
    for (const auto& [name, row_version] : known_.data_centres) {
        const auto before = std::find_if(evacuated_.begin(), evacuated_.end(),
                                         [&, n = name](const auto& e) { return e.name == n; });
        if (before != evacuated_.end()) {
            next.push_back({name, row_version, before->begun, before->complete});
            continue;
        }
        next.push_back({name, row_version, now, at_once ? now : now + shift_time_});
        change.begun.push_back(name);
    }
    for (auto& e : evacuated_) {
        if (known_.data_centres.count(e.name) != 0) {
            continue;
        }
        e.held_until = hold(e, store_returned, now);
        if (e.held_until) {
            next.push_back(e);
        }
        else {
            change.ended.push_back(e.name);
        }
    }
    std::sort(next.begin(), next.end(), [](const auto& a, const auto& b) { return a.name < b.name; });
    evacuated_ = std::move(next);
    return change;
}

evacuation_change evacuation_state::merge_from_peer(const evacuation_set& offered, bool at_once,
                                                    steady_time now)
{
    evacuation_seen_ = true;
    return merge(with_era(offered), at_once, now);
}

evacuation_set evacuation_state::with_era(evacuation_set offered) const
{
    if (offered.era == 0) {
        offered.era = known_.era;
    }
    return offered;
}

evacuation_change evacuation_state::end_held(steady_time now)
{
    evacuation_change change;
    for (const auto& e : evacuated_) {
        if (e.held_until && now >= *e.held_until) {
            change.ended.push_back(e.name);
        }
    }
    std::erase_if(evacuated_, [&](const auto& e) { return e.held_until && now >= *e.held_until; });
    return change;
}

std::optional<evacuation_set> evacuation_state::to_send() const
{
    return evacuation_seen_ && known_.version > 0 ? std::optional{known_} : std::nullopt;
}

bool evacuation_state::complete(std::string_view data_centre, steady_time now) const
{
    return std::any_of(evacuated_.begin(), evacuated_.end(),
                       [&](const auto& e) { return e.name == data_centre && now >= e.complete; });
}

evacuation_rows::evacuation_rows(decoder decode)
    : decode_{std::move(decode)}
{
}

const evacuation_set& evacuation_rows::on_read(std::span<const store_row> rows, store_position as_of)
{
    rows_.clear();
    for (const auto& row : rows) {
        apply(row, as_of.era);
    }
    update_set(as_of);
    return set_;
}

const evacuation_set& evacuation_rows::on_changes(std::span<const store_row> rows, store_position as_of)
{
    std::vector<const store_row*> sorted;
    sorted.reserve(rows.size());
    std::transform(rows.begin(), rows.end(), std::back_inserter(sorted),
                   [](const auto& row) { return &row; });
    std::stable_sort(sorted.begin(), sorted.end(),
                     [](const auto* a, const auto* b) { return a->version < b->version; });
    for (const auto* row : sorted) {
        apply(*row, as_of.era);
    }
    update_set(std::max(set_.as_of(), as_of));
    return set_;
}

void evacuation_rows::apply(const store_row& row, std::uint64_t era)
{
    const store_position written{era, row.version};
    const auto content = decode_(row);
    if (content.data_centre.empty()) {
        log(log_level::warning, "evacuation row ignored", {{"key", row.key}, {"reason", "invalid name"}});
        return;
    }
    const auto known = rows_.find(content.data_centre);
    if (known != rows_.end() && written < known->second) {
        return;
    }
    if (row.removed) {
        rows_.erase(content.data_centre);
        return;
    }
    if (!content.readable) {
        log(log_level::warning, "evacuation row ignored", {{"key", row.key}, {"reason", "invalid value"}});
        rows_.erase(content.data_centre);
        return;
    }
    rows_[content.data_centre] = written;
}

void evacuation_rows::update_set(store_position as_of)
{
    set_ = {as_of.version, {}, as_of.era};
    for (const auto& [name, written] : rows_) {
        if (set_.data_centres.size() == max_evacuated_data_centres) {
            log(log_level::warning, "evacuation rows ignored",
                {{"reason", "too many"}, {"rows", rows_.size()}, {"limit", max_evacuated_data_centres}});
            return;
        }
        set_.data_centres.emplace(name, written.version);
    }
}

} // namespace wagtailhatch
