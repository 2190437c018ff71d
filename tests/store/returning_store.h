#pragma once

#include "include/store/row_store.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace wagtailhatch::test {

/// Fake store with one table that can return from an older copy of itself: it loses the writes since, and
/// gives their versions out again in a new era. Calls wait until the test executes and then answers them, so
/// an answer can be as of any earlier moment.
class returning_store final : public row_store {
public:
    void read(const std::string&, const std::string& from, std::chrono::milliseconds,
              std::function<void(result<store_page>)> done) override
    {
        calls_.push_back({[this, from] { return read_page(from); }, std::move(done)});
    }
    void follow(const std::string&, std::uint64_t after, std::chrono::milliseconds, std::chrono::milliseconds,
                std::function<void(result<store_page>)> done) override
    {
        calls_.push_back({[this, after] { return changes(after); }, std::move(done)});
    }
    void commit(const store_transaction&, std::function<void(result<store_position>)> done) override
    {
        done(errc::unavailable);
    }

    void set(const std::string& key, const std::string& value)
    {
        save_copy();
        rows_[key] = {"", key, value, ++position_.version, false};
    }
    void remove(const std::string& key)
    {
        save_copy();
        rows_[key] = {"", key, {}, ++position_.version, true};
    }
    /// Returns from the copy that was made before the last `writes` writes.
    void restore(std::size_t writes)
    {
        const auto era = position_.era + 1;
        const auto lost = std::min(writes, copies_.size());
        if (lost > 0) {
            std::tie(rows_, position_) = copies_.at(copies_.size() - lost);
            copies_.resize(copies_.size() - lost);
        }
        position_.era = era;
    }
    void drop_history() { oldest_ = position_.version; }

    /// The oldest call takes effect now; its answer is kept until answer().
    void execute()
    {
        if (!calls_.empty()) {
            answers_.push_back(
                [page = calls_.front().execute(), done = std::move(calls_.front().done)] { done(page); });
            calls_.pop_front();
        }
    }
    void answer()
    {
        if (!answers_.empty()) {
            const auto send = std::move(answers_.front());
            answers_.pop_front();
            send();
        }
    }
    /// The oldest call fails without an effect.
    void fail()
    {
        if (!calls_.empty()) {
            const auto done = std::move(calls_.front().done);
            calls_.pop_front();
            done(errc::unavailable);
        }
    }

    /// Keys and values of the table.
    std::map<std::string, std::string> content() const
    {
        std::map<std::string, std::string> out;
        for (const auto& [key, row] : rows_) {
            if (!row.removed) {
                out[key] = row.value;
            }
        }
        return out;
    }
    store_position position() const { return position_; }

    static constexpr std::size_t page_rows = 2;

private:
    using table = std::map<std::string, store_row>;
    struct call {
        std::function<result<store_page>()> execute;
        std::function<void(result<store_page>)> done;
    };

    void save_copy() { copies_.emplace_back(rows_, position_); }

    result<store_page> read_page(const std::string& from) const
    {
        store_page page{{}, position_.version, false, position_.era};
        for (auto it = rows_.lower_bound(from); it != rows_.end(); ++it) {
            if (!it->second.removed && page.rows.size() == page_rows) {
                page.truncated = true;
                break;
            }
            if (!it->second.removed) {
                page.rows.push_back(it->second);
            }
        }
        return page;
    }
    result<store_page> changes(std::uint64_t after) const
    {
        if (after > position_.version || after < oldest_) {
            return errc::lost_history;
        }
        store_page page{{}, position_.version, false, position_.era};
        for (const auto& [key, row] : rows_) {
            if (row.version > after) {
                page.rows.push_back(row);
            }
        }
        return page;
    }

    table rows_;
    store_position position_{1, 0};
    std::uint64_t oldest_ = 0; ///< Changes after earlier versions are no longer available.
    std::vector<std::pair<table, store_position>> copies_;
    std::deque<call> calls_;
    std::deque<std::function<void()>> answers_;
};

} // namespace wagtailhatch::test
