#pragma once

#include "include/core/clock.h"
#include "include/membership/target_state.h"

#include <cstdint>
#include <optional>
#include <string>

namespace wagtailhatch {

/// Announcement of a target about itself.
struct target_announcement {
    std::string id;
    std::string service;
    std::string address;
    std::string data_centre;
    std::uint32_t slots = 0;
    bool draining = false;
    /// Remaining time for which it is slow after its start; nothing if it does not tell.
    std::optional<duration> cold_left;
    std::uint64_t sequence = 0;      ///< Increases with each announcement of an incarnation.
    std::uint64_t start_time_ms = 0; ///< Start time in Unix milliseconds; orders incarnations.
};

enum class announcement_result : std::uint8_t {
    applied,
    stale,   ///< A later announcement, or one of a later incarnation, was already received.
    foreign, ///< Concerns a target of another service or address.
    /// May be older than this node and thus than a leave that an earlier process of it has acknowledged. It
    /// takes effect once a health check confirms it.
    unconfirmed,
};

/// Tracks the state of the target beside a node from its announcements, which may arrive late and in any
/// order. After an incarnation has announced that it leaves, no later message of it makes it available again.
/// This also holds across a restart of the node, which forgets what was acknowledged: until no announcement
/// from before the restart can be on its way any more, one that tells of an available target needs a health
/// check that confirms it. Not thread-safe.
class target_tracker {
public:
    /// started: when this node's process started.
    target_tracker(std::string service, std::string address, steady_time started);

    /// Applies an announcement; changes the state only if it returns `applied`.
    announcement_result on_announcement(const target_announcement& a, steady_time now);

    /// Records that the target ends. start_time_ms: start time of the incarnation in Unix milliseconds, if it
    /// was sent. Returns `stale`, and changes nothing, if the message concerns neither the current
    /// incarnation nor a later one.
    announcement_result on_leave(const std::string& id, std::optional<std::uint64_t> start_time_ms);

    /// Records that the target with this id has said in a response that it leaves. Returns `stale`, and
    /// changes nothing, unless it is the current target and was available.
    announcement_result on_leaving_response(const std::string& id);

    /// Whether an announcement waits for a health check that confirms it.
    bool has_unconfirmed(steady_time now) const;

    /// Whether a health check of the target can tell its state.
    bool needs_probe(steady_time now) const
    {
        return state_.phase == target_phase::unknown || has_unconfirmed(now);
    }

    /// Records a health check in which the target with this id has declared itself healthy. Has effect only
    /// if needs_probe(), that is before any announcement since this node started, or on an unconfirmed
    /// announcement of that target. cold_left: as in an announcement.
    void on_probe(const std::string& id, std::uint32_t slots, std::optional<duration> cold_left,
                  steady_time now);

    const target_state& state() const { return state_; }

private:
    /// Whether the announcement is from the incarnation known last. One that was found by a health check has
    /// no known start time yet.
    bool same_incarnation(const target_announcement& a) const;
    void apply(const target_announcement& a, steady_time now);
    void record_cold_start(std::optional<duration> cold_left, steady_time now);

    std::string service_;
    std::string address_;
    steady_time started_;
    std::optional<target_announcement> unconfirmed_; ///< The newest unconfirmed announcement.
    target_state state_;
    std::uint64_t start_time_ms_ = 0;
    std::uint64_t sequence_ = 0;
};

} // namespace wagtailhatch
