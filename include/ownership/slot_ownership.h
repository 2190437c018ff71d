#pragma once

#include "include/core/random_source.h"
#include "include/ownership/slot_types.h"
#include "include/platform/table_service.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace wagtailhatch {

struct slot_ownership_options {
    std::string data_centre;
    std::uint32_t slots = 8;
    std::chrono::milliseconds create_delay{2000};   ///< Wait for members before the first rows are written.
    std::chrono::milliseconds loss_grace{500};      ///< A member must be gone this long before a takeover.
    std::chrono::milliseconds first_retry{200};     ///< After a failed table call; doubles, with jitter.
    std::chrono::milliseconds longest_retry{20000}; ///< A few table calls a minute during an outage.
    std::chrono::milliseconds refresh{30000};       ///< Between the two readers' reads in quiet times.
};

/// Changes of this node's part in a slot.
class slot_events {
public:
    virtual ~slot_events() = default;
    /// had_history: this node holds everything that earlier owners were allowed to do.
    virtual void on_become_owner(std::uint32_t slot, std::uint64_t epoch, bool had_history) = 0;
    virtual void on_become_partner(std::uint32_t slot, std::uint64_t epoch) = 0;
    /// No part any more. State of the slot may be dropped.
    virtual void on_lost(std::uint32_t slot, std::uint64_t epoch) = 0;
    /// The owner may not act until on_resumed or on_become_owner: a write of the row is on its way.
    virtual void on_suspended(std::uint32_t slot, std::uint64_t epoch) = 0;
    virtual void on_resumed(std::uint32_t slot, std::uint64_t epoch) = 0;
    /// This node wrote a row; tell the other nodes.
    virtual void on_row_written(std::uint32_t slot, const slot_row& row) = 0;
};

/// One node's part in the pairs that answer for its data centre's slots. A pair is changed only by a
/// conditional write of its row, and each epoch has exactly one content, so two nodes never act as owner of
/// one epoch. No clock is compared between nodes; the clock only paces retries. One thread.
class slot_ownership {
public:
    slot_ownership(slot_ownership_options options, node_ref self, table_service& table, const clock& time,
                   random_source& random, slot_events& events);
    ~slot_ownership();
    slot_ownership(const slot_ownership&) = delete;
    slot_ownership& operator=(const slot_ownership&) = delete;

    /// Live nodes of this data centre, this node included or not. Members that are leaving are left out.
    void set_live_members(const std::vector<node_ref>& members);

    /// Evidence that this incarnation of an instance, and all before it, have ended: its row says left, or
    /// operators recorded it as gone. A suspicion is no evidence.
    void report_ended(const std::string& id, std::uint64_t incarnation);

    /// Does what is due. Call every 20 to 100 ms.
    void tick();

    /// A row that another node read or wrote. Ignored unless its epoch is higher.
    void learn(std::uint32_t slot, const slot_row& row);

    /// Reads the row when its owner does not answer. Paced like every other read.
    void look_again(std::uint32_t slot);

    /// The partner holds the owner's whole state of that epoch.
    void mark_synced(std::uint32_t slot, std::uint64_t epoch);

    /// Whether this node may acknowledge for the owner: partner of that epoch and not sealed.
    bool may_acknowledge(std::uint32_t slot, std::uint64_t epoch) const;

    /// Whether this node may act as owner, given the partner's acknowledgements.
    bool may_act(std::uint32_t slot, std::uint64_t epoch) const;

    /// Gives every owned slot to its partner; done runs when none is left or after limit.
    void hand_over_all(duration limit, std::function<void()> done);

    std::uint32_t slots() const { return options_.slots; }
    const slot_row& row(std::uint32_t slot) const { return slots_[slot].row; }
    slot_role role(std::uint32_t slot) const { return slots_[slot].role; }
    bool synced(std::uint32_t slot) const { return slots_[slot].synced; }
    const node_ref& self() const { return self_; }
    const std::vector<node_ref>& live() const { return live_; }
    std::uint64_t table_reads() const { return reads_; }
    std::uint64_t table_writes() const { return writes_; }
    /// Rows name another number of slots than the configuration; this node then takes no part.
    bool slot_count_differs() const { return count_differs_; }

private:
    struct slot_entry {
        slot_row row;
        slot_row attempted; ///< Last row that was written or tried.
        slot_role role = slot_role::none;
        bool synced = false;   ///< Owner: partner has all state. Partner: holds the owner's whole state.
        bool sealed = false;   ///< A write is on its way: acknowledge nothing, act on nothing.
        bool may_land = false; ///< A write of unknown outcome may still take effect.
        bool busy = false;     ///< A table call is in flight.
        bool wanted = false;   ///< Somebody asked for a fresh row.
        steady_time needed_since{};
        steady_time next_try{};
        duration retry{};
    };

    std::string key(std::uint32_t slot) const;
    bool live(const node_ref& n) const;
    bool ended(const node_ref& n) const;
    node_ref choose(std::uint32_t slot, const std::vector<std::string>& without) const;
    bool decide(std::uint32_t slot, slot_row& next) const;
    bool decide_owner(std::uint32_t slot, slot_row& next) const;
    bool decide_partner(std::uint32_t slot, slot_row& next) const;
    bool decide_other(std::uint32_t slot, slot_row& next) const;
    void adopt(std::uint32_t slot, const slot_row& row);
    void consider(std::uint32_t slot);
    void attempt(std::uint32_t slot);
    void write(std::uint32_t slot, const slot_row& next, const write_condition& condition);
    void written(std::uint32_t slot, const slot_row& next, const result<std::string>& r);
    void seal(std::uint32_t slot);
    void unseal(std::uint32_t slot);
    void back_off(std::uint32_t slot);
    duration jittered(duration d) const;
    void read_all();
    void listed(const result<std::vector<table_row>>& rows);
    bool is_reader() const;
    void check_handed_over();

    slot_ownership_options options_;
    node_ref self_;
    table_service& table_;
    const clock& clock_;
    random_source& random_;
    slot_events& events_;
    std::vector<slot_entry> slots_;
    std::vector<node_ref> live_;
    std::unordered_map<std::string, std::uint64_t>
        live_incarnations_; ///< Of live_, for the checks on every tick.
    std::unordered_map<std::string, std::uint64_t> ended_;
    steady_time started_;
    steady_time next_list_{};
    duration list_retry_{};
    bool listing_ = false;
    bool listed_once_ = false;
    bool count_differs_ = false;
    bool leaving_ = false;
    steady_time leave_by_{};
    std::function<void()> left_;
    std::uint64_t reads_ = 0;
    std::uint64_t writes_ = 0;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0); ///< Late table answers find it expired.
};

/// JSON text of a row, and back. Rows that are not understood are errors.
std::string encode_row(const slot_row& row);
result<slot_row> decode_row(const std::string& text);

} // namespace wagtailhatch
