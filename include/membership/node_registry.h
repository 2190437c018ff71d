#pragma once

#include "include/core/clock.h"
#include "include/membership/member.h"
#include "include/store/row_store.h"
#include "include/store/store_position.h"
#include "include/store/table_reader.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace wagtailhatch {

/// Table of the store, owned by this project, with one row per node.
constexpr const char* nodes_table = "nodes";

struct node_registry_options {
    std::chrono::milliseconds wait{10'000};   ///< Long-poll time-out of one call for changes.
    std::chrono::milliseconds timeout{2500};  ///< Of the store's answer, in addition to the long poll.
    duration pause = std::chrono::seconds{1}; ///< Between calls, so that consecutive changes cost one call.
};

/// Discovery of nodes through the store: each node writes one row at startup and removes it at its planned
/// stop. The row holds the address and names the process; state is exchanged between the nodes. Rows of nodes
/// that were lost remain, at the cost of an occasional connection attempt. The rows are read after the own
/// row is written, so that of two nodes that start simultaneously at least one finds the other, even if
/// neither follows the table.
///
/// If the store returns from an older copy, each node writes its row and reads all rows again, and rows of
/// nodes that have left meanwhile are removed again. Not thread-safe.
class node_registry final : private table_events {
public:
    struct events {
        std::function<void(const std::vector<peer_address>&)> found;
        std::function<void(const peer_address&)> removed;
        std::function<void()> read = [] {}; ///< All rows have been read.
    };

    node_registry(asio::io_context& io, row_store& store, member self, node_registry_options options,
                  events on);
    ~node_registry() override = default;
    node_registry(const node_registry&) = delete;
    node_registry& operator=(const node_registry&) = delete;

    void start();

    /// Removes the own row; `done` runs when the store has answered or failed.
    void leave(std::function<void()> done);
    void stop();

    /// As table_reader::set_active().
    void set_active(bool active) { reader_.set_active(active); }

    /// As table_reader::on_era().
    void on_store_era(std::uint64_t era) { reader_.on_era(era); }

    /// The process on this address has ended for good. Its row is no news if it shows up again.
    void on_node_left(const peer_address& address, std::uint64_t incarnation);

private:
    struct departure {
        std::uint64_t incarnation = 0;
        std::uint64_t era = 0; ///< Of the store when the process left.
    };

    // table_events
    void on_era(std::uint64_t era) override;
    void on_read_begin() override { own_row_seen_ = false; }
    void on_read_page(const std::vector<store_row>& rows, bool last) override;
    void on_read_end(store_position as_of, bool complete) override;
    void on_changes(const std::vector<store_row>& rows, store_position as_of) override;
    void on_late_rows(const std::vector<store_row>& rows) override { apply(rows); }

    void apply(const std::vector<store_row>& rows);
    void apply(const store_row& row, std::vector<peer_address>& found);
    /// Writes the own row, again after a failure, unless this node has left.
    void write_own();
    /// Writes the own row later, unless a write is pending anyway.
    void write_own_after(duration wait);
    void on_own_written(const result<store_position>& position);
    /// Whether the store may have lost the own row since it acknowledged it.
    bool own_row_outdated() const;
    void remove_own(std::uint64_t version, const std::function<void()>& done);
    bool has_left(const store_row& row) const;
    /// Removes a row that a copy of the store has brought back.
    void remove_restored(const store_row& row);
    void run_after(duration wait, std::function<void()> task);

    asio::io_context& io_;
    row_store& store_;
    member self_;
    std::chrono::milliseconds timeout_;
    events events_;
    table_reader reader_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    store_position own_;         ///< Of the own row; version 0 while the store has not acknowledged it.
    bool own_row_seen_ = false;  ///< In the current full read.
    bool write_pending_ = false; ///< A write of the own row, or the delay before it, is in progress.
    bool left_ = false;
    std::map<peer_address, departure> departed_; ///< Nodes that have left lately.
    duration write_backoff_{};
};

} // namespace wagtailhatch
