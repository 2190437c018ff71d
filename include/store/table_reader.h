#pragma once

#include "include/core/clock.h"
#include "include/core/result.h"
#include "include/store/row_store.h"
#include "include/store/store_position.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace wagtailhatch {

struct table_reader_options {
    std::string table;
    std::string first_key{};    ///< Full reads begin here.
    std::size_t max_pages = 20; ///< Bounds a full read of a table that does not end.
    /// Long-poll time-out of one call for changes.
    std::chrono::milliseconds wait{800};
    /// Time-out of the store's answer, in addition to the long poll. It doubles up to max_timeout while calls
    /// time out, so that a slow store is read as well.
    std::chrono::milliseconds timeout{1000};
    std::chrono::milliseconds max_timeout{2000};
    duration pause{}; ///< Before each call for changes, so that consecutive changes cost one call.
    duration initial_backoff = std::chrono::milliseconds{100};
    duration max_backoff = std::chrono::milliseconds{800};
};

/// Receives what a table_reader finds.
class table_events {
public:
    virtual ~table_events() = default;

    /// The reader has entered an era of the store: what earlier ones held may be lost.
    virtual void on_era(std::uint64_t /*era*/) {}

    /// A full read begins. The rows of an earlier one that has not ended are void.
    virtual void on_read_begin() = 0;

    /// The key from which a full read goes on, given the smallest key that it has not covered; nothing if no
    /// more rows are needed.
    virtual std::optional<std::string> next_key(const std::string& smallest) { return smallest; }

    /// Rows of the full read in progress; `last` if no page follows.
    virtual void on_read_page(const std::vector<store_row>& rows, bool last) = 0;

    /// The full read has ended. Changes after `as_of` follow. If not complete, rows may be missing.
    virtual void on_read_end(store_position as_of, bool complete) = 0;

    /// Changed and removed rows, up to `as_of`.
    virtual void on_changes(const std::vector<store_row>& rows, store_position as_of) = 0;

    /// Rows of the current era in a late answer to a call that read() has replaced.
    virtual void on_late_rows(const std::vector<store_row>& /*rows*/) {}

    /// A call has ended; `answered` if its answer could be used.
    virtual void on_call_end(bool /*answered*/) {}
};

/// Keeps up with one table of the store: reads all of it, then follows its changes. Owns this node's position
/// in the history of the table. A position holds only within its era: in a new one, or if the version goes
/// back, the table is read in full again, because the changes since the position are not all in its feed.
/// Single-threaded.
class table_reader {
public:
    /// The store and the events must outlive the reader.
    table_reader(asio::io_context& io, row_store& store, table_reader_options options, table_events& events);
    ~table_reader() = default;
    table_reader(const table_reader&) = delete;
    table_reader& operator=(const table_reader&) = delete;

    /// Reads the whole table, also if inactive. Replaces a call in progress.
    void read();

    void stop();

    /// While inactive, makes no call after the full read or the call in progress. When reactivated, goes on
    /// with that call if it has not ended yet, and reads the whole table otherwise.
    void set_active(bool active);

    /// Reads again if the era is newer than that of the position: the call in progress may wait for long in
    /// the old one.
    void on_era(std::uint64_t era);

    /// The changes up to here are known.
    store_position position() const { return position_; }

    bool started() const { return pass_ > 0; }

    /// Whether the last call to the store succeeded.
    bool store_reachable() const { return store_reachable_.value_or(false); }

private:
    using page_handler = std::function<void(const store_page&)>;

    void read_page(const std::string& from);
    void on_read_page(const std::string& from, const store_page& page);
    std::optional<std::string> next_key(const std::string& from, const store_page& page);
    void follow();
    void on_changes(const store_page& page);
    void enter_era(std::uint64_t era);
    /// The reason why the page does not continue this reader's history, if it does not.
    std::optional<error> history_break(const store_page& page) const;
    std::function<void(result<store_page>)> on_answer(page_handler handle);
    void on_call_succeeded();
    void schedule_retry(const error& reason);
    void run_after(duration wait, void (table_reader::*step)());

    row_store& store_;
    table_reader_options options_;
    table_events& events_;
    asio::steady_timer timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    store_position position_;
    std::uint64_t pass_ = 0; ///< Full reads begun; answers to calls of earlier ones are dropped.
    std::size_t pages_ = 0;  ///< Of the current full read.
    bool in_full_read_ = false;
    store_position read_from_; ///< Position of the first page of the current full read.
    duration backoff_{};
    std::chrono::milliseconds timeout_;   ///< Current time-out of the store's answer.
    std::optional<bool> store_reachable_; ///< Empty until the first call has ended.
    bool active_ = true;
    bool call_in_progress_ = false; ///< A call, or the delay before it, is in progress.
    bool stopped_ = false;
};

} // namespace wagtailhatch
