#include "src/config/reader_election.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace wagtailhatch {
namespace {

constexpr std::size_t readers_per_data_centre = 2;
constexpr std::size_t max_candidates = 64;

std::chrono::milliseconds age_of(steady_time t, steady_time now)
{
    return std::max(std::chrono::duration_cast<std::chrono::milliseconds>(now - t),
                    std::chrono::milliseconds{0});
}

} // namespace

reader_election::reader_election(std::string data_centre, std::string self, const clock& time,
                                 duration memory)
    : data_centre_{std::move(data_centre)}
    , self_{std::move(self)}
    , time_{time}
    , memory_{memory}
    , own_rank_{rank_of(self_)}
{
}

std::uint64_t reader_election::rank_of(const std::string& id) const
{
    return XXH64(id.data(), id.size(), XXH64(data_centre_.data(), data_centre_.size(), 0));
}

void reader_election::merge(const std::vector<reader_report>& reports)
{
    const auto now = time_.now();
    for (const auto& report : reports) {
        if (report.id == self_ || report.alive > memory_) {
            continue;
        }
        auto& known = others_[report.id];
        known.rank = rank_of(report.id);
        // The latest statement counts as a whole, so that a reader that lost the platform is soon known.
        const auto alive = now - report.alive;
        if (alive > known.alive) {
            known.alive = alive;
            known.reached = report.reached ? std::optional{now - *report.reached} : std::nullopt;
        }
    }
    forget_old();
}

void reader_election::forget_old()
{
    std::erase_if(others_, [&](const auto& entry) { return !recent(entry.second.alive); });
    while (others_.size() > max_candidates) {
        others_.erase(std::min_element(others_.begin(), others_.end(), [](const auto& a, const auto& b) {
            return a.second.rank < b.second.rank;
        }));
    }
}

void reader_election::reached(steady_time when)
{
    own_reached_ = std::max(own_reached_.value_or(when), when);
}

bool reader_election::primary() const
{
    const auto higher = std::count_if(others_.begin(), others_.end(), [&](const auto& entry) {
        return entry.second.rank > own_rank_ && recent(entry.second.alive);
    });
    return static_cast<std::size_t>(higher) < readers_per_data_centre;
}

bool reader_election::outranked() const
{
    return std::any_of(others_.begin(), others_.end(), [&](const auto& entry) {
        return entry.second.rank > own_rank_ && entry.second.reached && recent(*entry.second.reached);
    });
}

std::vector<reader_report> reader_election::report() const
{
    const auto now = time_.now();
    std::vector<std::pair<std::string, candidate>> all{others_.begin(), others_.end()};
    all.push_back({self_, {own_rank_, now, own_reached_}});
    std::erase_if(all, [&](const auto& entry) { return !recent(entry.second.alive); });
    std::sort(all.begin(), all.end(),
              [](const auto& a, const auto& b) { return a.second.rank > b.second.rank; });
    // One more than the readers: the latest reader of a lower rank, while the primaries cannot read.
    if (all.size() > readers_per_data_centre) {
        const auto latest = std::max_element(
            all.begin() + readers_per_data_centre, all.end(),
            [](const auto& a, const auto& b) { return a.second.reached < b.second.reached; });
        all[readers_per_data_centre] = *latest;
        all.resize(readers_per_data_centre + (all[readers_per_data_centre].second.reached ? 1 : 0));
    }
    std::vector<reader_report> reports;
    for (const auto& [id, known] : all) {
        reader_report report{id, age_of(known.alive, now), std::nullopt};
        if (known.reached && recent(*known.reached)) {
            report.reached = age_of(*known.reached, now);
        }
        reports.push_back(std::move(report));
    }
    return reports;
}

} // namespace wagtailhatch
