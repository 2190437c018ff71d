#pragma once

#include "include/core/clock.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace wagtailhatch {

struct crash_quarantine_options {
    std::uint32_t deaths = 2;                 ///< A fingerprint in flight at this many deaths is held back.
    duration hold = std::chrono::minutes{10}; ///< How long it is held back after the last death.
    duration suspicion = std::chrono::minutes{10}; ///< How long one death is remembered.
    std::size_t max_fingerprints = 10'000;
};

/// Requests that were in flight when a target of this service died. A node reports deaths of its own target
/// to the other nodes of the service.
struct death_report {
    std::uint64_t death_id = 0; ///< Random; the same report may arrive many times.
    std::vector<std::uint64_t> fingerprints;
};

/// Holds back requests that crash targets, so that one request takes down at most `deaths` targets.
/// A request that finishes clears its fingerprint, so requests that merely ran beside it are not held.
class crash_quarantine {
public:
    explicit crash_quarantine(crash_quarantine_options options);

    /// How long the request is still held back; nothing if it may run.
    std::optional<duration> held(std::uint64_t fingerprint, steady_time now) const;

    /// A target died, here or at another node.
    void on_death(const death_report& report, steady_time now);

    /// A request with that fingerprint finished, here or at another node. True if it was suspect: tell the
    /// other nodes.
    bool on_finished(std::uint64_t fingerprint);

    std::size_t size() const { return suspects_.size(); }

private:
    struct suspect {
        std::uint32_t deaths = 0;
        steady_time last_death{};
    };

    void forget_old(steady_time now);
    void make_room();

    crash_quarantine_options options_;
    std::unordered_map<std::uint64_t, suspect> suspects_;
    std::unordered_map<std::uint64_t, steady_time> seen_deaths_;
};

} // namespace wagtailhatch
