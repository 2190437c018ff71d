#include "include/admission/crash_quarantine.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace wagtailhatch {

crash_quarantine::crash_quarantine(crash_quarantine_options options)
    : options_{options}
{
}

std::optional<duration> crash_quarantine::remaining_quarantine(std::uint64_t fingerprint,
                                                               steady_time now) const
{
    const auto it = suspects_.find(fingerprint);
    if (it == suspects_.end() || it->second.crashes < options_.crashes) {
        return std::nullopt;
    }
    const auto until = it->second.last_crash + options_.quarantine_time;
    return until > now ? std::optional<duration>{until - now} : std::nullopt;
}

void crash_quarantine::expire_suspects(steady_time now)
{
    std::erase_if(suspects_, [&](const auto& s) {
        const auto age = now - s.second.last_crash;
        return age >= (s.second.crashes < options_.crashes ? options_.suspect_ttl : options_.quarantine_time);
    });
    const auto memory = std::max(options_.suspect_ttl, options_.quarantine_time);
    std::erase_if(seen_crashes_, [&](const auto& d) { return now - d.second >= memory; });
}

void crash_quarantine::evict_suspects()
{
    if (suspects_.size() < options_.max_fingerprints) {
        return;
    }
    // Evicts a tenth at once, so that a large report does not sort the whole list once per fingerprint.
    std::vector<std::pair<std::uint64_t, suspect>> all{suspects_.begin(), suspects_.end()};
    const auto count = static_cast<std::ptrdiff_t>(std::max<std::size_t>(1, all.size() / 10));
    std::partial_sort(all.begin(), all.begin() + count, all.end(), [](const auto& a, const auto& b) {
        return std::tie(a.second.crashes, a.second.last_crash, a.first) <
               std::tie(b.second.crashes, b.second.last_crash, b.first);
    });
    std::for_each(all.begin(), all.begin() + count, [this](const auto& s) { suspects_.erase(s.first); });
}

void crash_quarantine::on_target_crash(const crash_report& report, steady_time now)
{
    expire_suspects(now);
    if (seen_crashes_.size() >= options_.max_fingerprints ||
        !seen_crashes_.emplace(report.crash_id, now).second) {
        return;
    }
    auto fingerprints = report.fingerprints;
    std::sort(fingerprints.begin(), fingerprints.end());
    fingerprints.erase(std::unique(fingerprints.begin(), fingerprints.end()), fingerprints.end());
    for (const auto fingerprint : fingerprints) {
        if (!suspects_.contains(fingerprint)) {
            evict_suspects();
        }
        auto& s = suspects_[fingerprint];
        ++s.crashes;
        s.last_crash = now;
    }
}

bool crash_quarantine::on_finished(std::uint64_t fingerprint)
{
    return suspects_.erase(fingerprint) > 0;
}

} // namespace wagtailhatch
