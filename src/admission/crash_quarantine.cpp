#include "include/admission/crash_quarantine.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace wagtailhatch {

crash_quarantine::crash_quarantine(crash_quarantine_options options)
    : options_{options}
{
}

std::optional<duration> crash_quarantine::held(std::uint64_t fingerprint, steady_time now) const
{
    const auto it = suspects_.find(fingerprint);
    if (it == suspects_.end() || it->second.deaths < options_.deaths) {
        return std::nullopt;
    }
    const auto until = it->second.last_death + options_.hold;
    return until > now ? std::optional<duration>{until - now} : std::nullopt;
}

void crash_quarantine::forget_old(steady_time now)
{
    std::erase_if(suspects_, [&](const auto& s) {
        const auto age = now - s.second.last_death;
        return age >= (s.second.deaths < options_.deaths ? options_.suspicion : options_.hold);
    });
    const auto memory = std::max(options_.suspicion, options_.hold);
    std::erase_if(seen_deaths_, [&](const auto& d) { return now - d.second >= memory; });
}

void crash_quarantine::make_room()
{
    if (suspects_.size() < options_.max_fingerprints) {
        return;
    }
    // Evicts a tenth at once, so that a large report does not sort the whole list once per fingerprint.
    std::vector<std::pair<std::uint64_t, suspect>> all{suspects_.begin(), suspects_.end()};
    const auto count = static_cast<std::ptrdiff_t>(std::max<std::size_t>(1, all.size() / 10));
    std::partial_sort(all.begin(), all.begin() + count, all.end(), [](const auto& a, const auto& b) {
        return std::tie(a.second.deaths, a.second.last_death, a.first) <
               std::tie(b.second.deaths, b.second.last_death, b.first);
    });
    std::for_each(all.begin(), all.begin() + count, [this](const auto& s) { suspects_.erase(s.first); });
}

void crash_quarantine::on_death(const death_report& report, steady_time now)
{
    forget_old(now);
    if (seen_deaths_.size() >= options_.max_fingerprints ||
        !seen_deaths_.emplace(report.death_id, now).second) {
        return;
    }
    auto fingerprints = report.fingerprints;
    std::sort(fingerprints.begin(), fingerprints.end());
    fingerprints.erase(std::unique(fingerprints.begin(), fingerprints.end()), fingerprints.end());
    for (const auto fingerprint : fingerprints) {
        if (!suspects_.contains(fingerprint)) {
            make_room();
        }
        auto& s = suspects_[fingerprint];
        ++s.deaths;
        s.last_death = now;
    }
}

bool crash_quarantine::on_finished(std::uint64_t fingerprint)
{
    return suspects_.erase(fingerprint) > 0;
}

} // namespace wagtailhatch
