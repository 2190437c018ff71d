#pragma once

#include "include/config/configuration.h"

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace wagtailhatch {

/// Part of a workspace's rate and burst that one data centre mints.
struct workspace_share {
    double rate = 0;
    std::uint64_t burst = 0; ///< Whole tokens.
};

/// Splits rate and burst by weight. The bursts of all data centres add up to the workspace's burst (rounded
/// down) exactly; a higher burst lowers no part (D'Hondt). A data centre without a whole token mints nothing.
workspace_share share_of(const configuration& c, const workspace_config& w, const std::string& data_centre);

/// Data centre that answers for a workspace's run-once orders; empty if there is none.
std::string home_of(const configuration& c, const workspace_config& w);

/// Equal for configurations between which no data centre's part of any workspace can rise and no home moves.
std::uint64_t division_stamp(const configuration& c);

/// What one slot's owner may mint and answer for while configurations change. Lowering a share and giving up
/// a home take effect at once. Raising a share and taking a home wait until the owners of the same slot in
/// all other data centres have adopted the same division, at a version not below the one that brought it
/// here.
class share_gate {
public:
    /// What the partner keeps. A successor never goes below `version`.
    struct record {
        std::uint64_t version = 0;
        std::uint64_t adopted = 0;
        std::uint64_t stamp = 0;
        bool raised = false;
    };

    share_gate(std::string data_centre, const record* inherited);

    /// Returns whether a new record must reach the partner before this owner confirms to others.
    bool adopt(std::shared_ptr<const configuration> c);

    /// Another data centre's owner of this slot runs that division at that version, or never existed.
    void confirmed(const std::string& data_centre, std::uint64_t version, std::uint64_t stamp);

    /// Data centres that have not confirmed yet; empty if nothing waits.
    std::vector<std::string> missing() const;

    /// Whether this owner may mint and answer at all.
    bool open() const { return current_ && !fresh_; }
    workspace_share share(const std::string& workspace) const;
    /// Whether orders of the workspace may be claimed here now.
    bool home_here(const std::string& workspace) const;

    std::uint64_t version() const { return current_ ? current_->version : 0; }
    std::uint64_t adopted() const { return adopted_; }
    std::uint64_t stamp() const { return stamp_; }
    bool raised() const { return !fresh_ && pending_.empty(); }
    record to_record() const { return {version(), adopted_, stamp_, raised()}; }

private:
    void settle();

    std::string data_centre_;
    record inherited_;
    bool has_inherited_ = false;
    std::shared_ptr<const configuration> current_;
    std::vector<std::shared_ptr<const configuration>> pending_; ///< In force before, not yet given up by all.
    std::set<std::string> confirmed_;
    std::uint64_t adopted_ = 0;
    std::uint64_t stamp_ = 0;
    bool fresh_ = true; ///< No division was ever confirmed here.
};

} // namespace wagtailhatch
