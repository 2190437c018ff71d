#include "include/store/table_reader.h"

#include "include/observe/logging.h"

#include <algorithm>
#include <utility>

namespace wagtailhatch {

table_reader::table_reader(asio::io_context& io, row_store& store, table_reader_options options,
                           table_events& events)
    : store_{store}
    , options_{std::move(options)}
    , events_{events}
    , timer_{io}
    , timeout_{options_.timeout}
{
}

void table_reader::stop()
{
    stopped_ = true;
    timer_.cancel();
    alive_.reset();
}

void table_reader::set_active(bool active)
{
    active_ = active;
    if (active_ && started() && !call_in_progress_ && !stopped_) {
        read();
    }
}

void table_reader::on_era(std::uint64_t era)
{
    if (era <= position_.era) {
        return;
    }
    enter_era(era);
    if (call_in_progress_ && !stopped_) {
        log(log_level::info, "store table to be read again", {{"table", options_.table}, {"era", era}});
        read();
    }
}

void table_reader::enter_era(std::uint64_t era)
{
    if (era > position_.era) {
        position_ = {era, 0};
        events_.on_era(era);
    }
}

void table_reader::read()
{
    call_in_progress_ = true;
    in_full_read_ = true;
    ++pass_;
    pages_ = 0;
    timer_.cancel();
    events_.on_read_begin();
    read_page(options_.first_key);
}

std::function<void(result<store_page>)> table_reader::on_answer(page_handler handle)
{
    return [this, pass = pass_, handle = std::move(handle),
            alive = std::weak_ptr{alive_}](const result<store_page>& page) {
        if (alive.expired()) {
            return;
        }
        if (pass != pass_) {
            if (page && page->era == position_.era) {
                events_.on_late_rows(page->rows);
            }
            return;
        }
        if (!page) {
            schedule_retry(page.failure());
            return;
        }
        if (const auto reason = history_break(*page)) {
            enter_era(page->era);
            schedule_retry(*reason);
            return;
        }
        on_call_succeeded();
        handle(*page);
    };
}

std::optional<error> table_reader::history_break(const store_page& page) const
{
    // An answer that names no era is taken for one of the era known before.
    const auto era = page.era == 0 ? position_.era : page.era;
    if (era < position_.era) {
        return make_error(errc::lost_history, "answer of an older era of the store");
    }
    const bool first_page = in_full_read_ && pages_ == 0;
    if (era > position_.era && !first_page) {
        return make_error(errc::lost_history, "the store has returned from an older copy");
    }
    const auto reached = !in_full_read_ ? position_.version : first_page ? 0 : read_from_.version;
    if (page.version < reached) {
        return make_error(errc::lost_history, "the version of the store has gone back");
    }
    return std::nullopt;
}

void table_reader::read_page(const std::string& from)
{
    store_.read(options_.table, from, timeout_,
                on_answer([this, from](const store_page& page) { on_read_page(from, page); }));
}

void table_reader::on_read_page(const std::string& from, const store_page& page)
{
    // Changes made between the pages are newer than the first page and are found by following it.
    if (pages_++ == 0) {
        enter_era(page.era);
        read_from_ = {position_.era, page.version};
    }
    const auto next = next_key(from, page);
    const bool in_part = next && pages_ >= options_.max_pages;
    const bool last = !next || in_part;
    events_.on_read_page(page.rows, last);
    if (!last) {
        read_page(*next);
        return;
    }
    in_full_read_ = false;
    position_ = read_from_;
    log(in_part ? log_level::warning : log_level::info,
        in_part ? "store table read in part" : "store table read",
        {{"table", options_.table},
         {"era", position_.era},
         {"version", position_.version},
         {"pages", pages_}});
    events_.on_read_end(position_, !in_part);
    run_after(options_.pause, &table_reader::follow);
}

std::optional<std::string> table_reader::next_key(const std::string& from, const store_page& page)
{
    if (!page.truncated) {
        return std::nullopt;
    }
    // The smallest key after the last one.
    auto next = events_.next_key(page.rows.empty() ? from : page.rows.back().key + '\0');
    return next == from ? std::nullopt : next;
}

void table_reader::follow()
{
    if (stopped_ || !active_) {
        call_in_progress_ = false;
        return;
    }
    store_.follow(options_.table, position_.version, options_.wait, timeout_,
                  on_answer([this](const store_page& page) { on_changes(page); }));
}

void table_reader::on_changes(const store_page& page)
{
    position_.version = page.version;
    events_.on_changes(page.rows, position_);
    if (page.truncated && active_ && !stopped_) {
        read();
        return;
    }
    run_after(options_.pause, &table_reader::follow);
}

void table_reader::on_call_succeeded()
{
    backoff_ = {};
    timeout_ = options_.timeout;
    if (std::exchange(store_reachable_, true) == false) {
        log(log_level::info, "store regained",
            {{"table", options_.table}, {"era", position_.era}, {"version", position_.version}});
    }
    events_.on_call_end(true);
}

void table_reader::schedule_retry(const error& reason)
{
    if (stopped_) {
        return;
    }
    if (std::exchange(store_reachable_, false) != false) {
        log(log_level::warning, "store lost",
            {{"table", options_.table},
             {"error", reason.message()},
             {"era", position_.era},
             {"version", position_.version}});
    }
    events_.on_call_end(false);
    if (reason.code == errc::timeout) {
        timeout_ = std::min(timeout_ * 2, options_.max_timeout);
    }
    backoff_ = std::clamp(backoff_ * 2, options_.initial_backoff, options_.max_backoff);
    const bool read_again = in_full_read_ || position_.version == 0 || reason.code == errc::lost_history;
    run_after(backoff_, read_again ? &table_reader::read : &table_reader::follow);
}

void table_reader::run_after(duration wait, void (table_reader::*step)())
{
    if (wait == duration{}) {
        (this->*step)();
        return;
    }
    timer_.expires_after(wait);
    timer_.async_wait([this, step, pass = pass_, alive = std::weak_ptr{alive_}](const std::error_code& ec) {
        if (!ec && !alive.expired() && pass == pass_) {
            (this->*step)();
        }
    });
}

} // namespace wagtailhatch
