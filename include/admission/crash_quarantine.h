#pragma once

#include "include/core/clock.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace wagtailhatch {

struct crash_quarantine_options {
    std::uint32_t crashes = 2; ///< Number of crashes with a fingerprint in flight that quarantines it.
    duration quarantine_time = std::chrono::minutes{10}; ///< Quarantine time after the last crash.
    duration suspect_ttl = std::chrono::minutes{10}; ///< How long a fingerprint below the threshold is kept.
    std::size_t max_fingerprints = 10'000;
};

/// Requests that were in flight when a target of this service crashed. A node sends the report on its own
/// target to the other nodes of the service.
struct crash_report {
    std::uint64_t crash_id = 0; ///< Random; identifies duplicates of the same report.
    std::vector<std::uint64_t> fingerprints;
};

/// Quarantines poison requests, so that one request crashes at most the configured number of targets. A
/// request that finishes clears its fingerprint, so requests that were merely in flight at the same time are
/// not quarantined.
class crash_quarantine {
public:
    explicit crash_quarantine(crash_quarantine_options options);

    /// Remaining quarantine time of the request; nullopt if it may run.
    std::optional<duration> remaining_quarantine(std::uint64_t fingerprint, steady_time now) const;

    /// Records a crash of a target at this or another node. Ignores duplicates of a report, and any report
    /// while `max_fingerprints` crashes are remembered.
    void on_target_crash(const crash_report& report, steady_time now);

    /// Records that a request with this fingerprint finished, at this or another node. Returns true if the
    /// fingerprint was a suspect; the caller then notifies the other nodes.
    bool on_finished(std::uint64_t fingerprint);

    std::size_t size() const { return suspects_.size(); }

private:
    struct suspect {
        std::uint32_t crashes = 0;
        steady_time last_crash{};
    };

    void expire_suspects(steady_time now);
    void evict_suspects();

    crash_quarantine_options options_;
    std::unordered_map<std::uint64_t, suspect> suspects_;
    std::unordered_map<std::uint64_t, steady_time> seen_crashes_;
};

} // namespace wagtailhatch
