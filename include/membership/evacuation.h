#pragma once

#include "include/core/clock.h"
#include "include/store/row_store.h"
#include "include/store/store_position.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailhatch {

/// Data centres that can be evacuated at the same time. The set is part of every status between nodes.
constexpr std::size_t max_evacuated_data_centres = 100;

/// Data centres that the operators have evacuated, as of one moment in the history of the store.
struct evacuation_set {
    std::uint64_t version = 0; ///< Of the store; 0: nothing is known.
    /// Name of each data centre and the version of the row that evacuates it.
    std::map<std::string, std::uint64_t> data_centres;
    std::uint64_t era = 0; ///< Of the store; 0: not named, as by nodes of an older version.

    store_position as_of() const { return {era, version}; }

    bool operator==(const evacuation_set&) const = default;
};

/// Evacuation of one data centre as seen by this node.
struct evacuated_data_centre {
    std::string name;
    std::uint64_t row_version = 0; ///< Of the row that evacuates it.
    steady_time begun{};           ///< When this node learned of it.
    steady_time complete{};        ///< From then on the targets of the data centre get no request.
    /// The store has returned without the row. The evacuation ends at this time if it isn't written again.
    std::optional<steady_time> held_until{};

    /// Share of the requests that are kept away from its targets, from 0 to 1.
    double share(steady_time now) const;

    bool operator==(const evacuated_data_centre&) const = default;
};

/// Changes made by evacuation_state::merge().
struct evacuation_change {
    std::vector<std::string> begun;
    std::vector<std::string> ended;

    bool any() const { return !begun.empty() || !ended.empty(); }
};

/// The evacuated data centres as known to this node. The newest position in the history of the store wins,
/// whether it comes from the store or from a peer, and the state never goes back to an older one. An
/// evacuation whose row the store has lost is held for a while, because operators write it again. Not
/// thread-safe.
class evacuation_state {
public:
    /// evacuate_time: from the row in the store until the targets of the data centre get no request. A part
    /// of it spreads the shift of load, the rest is for the news to reach every node. An evacuation whose row
    /// is lost is held for the same time.
    explicit evacuation_state(duration evacuate_time);

    /// Adopts the set if it is newer. at_once: the load is not shifted gradually, because this node does not
    /// serve yet.
    evacuation_change merge(const evacuation_set& offered, bool at_once, steady_time now);

    /// Merges the set in the status of a peer. Returns the changes as merge() does.
    evacuation_change merge_from_peer(const evacuation_set& offered, bool at_once, steady_time now);

    /// Whether the set in the status of a peer is older than the known one.
    bool outdated(const evacuation_set& offered) const { return with_era(offered).as_of() < known_.as_of(); }

    /// Ends the evacuations that have been held for their time. Call several times a second.
    evacuation_change end_held(steady_time now);

    const evacuation_set& known() const { return known_; }

    /// The set to send to peers; nothing until an evacuation has been heard of, so that fleets without one
    /// send no field. An empty set is sent after an evacuation has ended, and to peers that know an older
    /// set.
    std::optional<evacuation_set> to_send() const;

    std::span<const evacuated_data_centre> evacuated() const { return evacuated_; }

    /// Whether targets of this data centre must get no request at all.
    bool complete(std::string_view data_centre, steady_time now) const;

private:
    /// A set without an era counts as one of the known era.
    evacuation_set with_era(evacuation_set offered) const;
    /// Until when an evacuation goes on whose row the known set doesn't hold; nothing if it has ended.
    std::optional<steady_time> hold(const evacuated_data_centre& e, bool store_returned,
                                    steady_time now) const;

    duration evacuate_time_;
    duration shift_time_;
    evacuation_set known_;
    std::vector<evacuated_data_centre> evacuated_; ///< Sorted by name.
    bool evacuation_seen_ = false;
};

/// Content of a row that evacuates a data centre.
struct evacuation_row {
    std::string data_centre; ///< Empty if the key holds no valid name.
    bool readable = true;    ///< False if the value cannot be read.
};

/// Builds the evacuation_set from the rows of the store. A row that cannot be read counts as absent, so that
/// all nodes derive the same set from one version. Not thread-safe.
class evacuation_rows {
public:
    using decoder = std::function<evacuation_row(const store_row&)>;

    explicit evacuation_rows(decoder decode);

    /// Replaces the set by the rows of a full read.
    const evacuation_set& on_read(std::span<const store_row> rows, store_position as_of);

    /// Applies changes, in the order of their versions.
    const evacuation_set& on_changes(std::span<const store_row> rows, store_position as_of);

private:
    void apply(const store_row& row, std::uint64_t era);
    void update_set(store_position as_of);

    decoder decode_;
    std::map<std::string, store_position> rows_; ///< All readable rows: name, and where they were written.
    evacuation_set set_;                         ///< The first max_evacuated_data_centres of rows_.
};

} // namespace wagtailhatch
