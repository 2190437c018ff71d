#include "include/config/config_follower.h"

#include "include/config/config_documents.h"
#include "include/observe/logging.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace wagtailhatch {
namespace {

using namespace std::chrono_literals;

constexpr duration initial_backoff = 100ms;
constexpr duration max_backoff = 800ms;
// Bounds a full read of a table that does not end.
constexpr std::size_t max_read_pages = 20;

} // namespace

config_follower::config_follower(asio::io_context& io, row_store& store, config_follower_options options,
                                 decoder decode, listener changed)
    : store_{store}
    , options_{std::move(options)}
    , decode_{std::move(decode)}
    , on_change_{std::move(changed)}
    , timer_{io}
    , timeout_{options_.timeout}
{
}

void config_follower::start()
{
    read();
}

void config_follower::set_active(bool active)
{
    active_ = active;
    if (active_ && !call_in_progress_ && !stopped_) {
        read();
    }
}

void config_follower::stop()
{
    stopped_ = true;
    timer_.cancel();
    alive_.reset();
}

void config_follower::read()
{
    call_in_progress_ = true;
    read_rows_ = {true, {}, 0};
    document_.reset();
    read_pages_ = 0;
    read_page(options_.key);
}

void config_follower::read_page(const std::string& from)
{
    store_.read(options_.table, from, timeout_,
                [this, from, alive = std::weak_ptr{alive_}](result<store_page> page) {
                    if (alive.expired()) {
                        return;
                    }
                    if (!page) {
                        schedule_retry(page.failure(), true);
                        return;
                    }
                    on_call_succeeded();
                    on_read_page(from, *page);
                });
}

void config_follower::on_read_page(const std::string& from, const store_page& page)
{
    // Changes made between the pages are newer than the first page and are found by following it.
    if (read_pages_++ == 0) {
        read_rows_.version = page.version;
    }
    for (const auto& row : page.rows) {
        if (row.key == options_.key) {
            document_ = row.value;
        }
        else if (has_prefix(row.key)) {
            read_rows_.rows.push_back(row);
        }
    }
    const auto next = next_page(from, page);
    // The first configuration makes this node serve, so the other rows must be known before it.
    if (next && version_ > 0 && document_) {
        apply_document(*std::exchange(document_, std::nullopt));
    }
    if (next) {
        read_page(*next);
        return;
    }
    store_version_ = read_rows_.version;
    log(log_level::info, "store table read",
        {{"table", options_.table}, {"era", page.era}, {"version", store_version_}});
    on_rows_(std::exchange(read_rows_, {}));
    if (document_) {
        apply_document(*std::exchange(document_, std::nullopt));
    }
    follow();
}

std::optional<std::string> config_follower::next_page(const std::string& from, const store_page& page)
{
    const auto& prefix = options_.row_prefix;
    if (!page.truncated || prefix.empty()) {
        return std::nullopt;
    }
    // The smallest key after the last one. Keys between the configuration and the prefix are not needed.
    const auto next = std::max(page.rows.empty() ? from : page.rows.back().key + '\0', prefix);
    const bool past_prefix = next.compare(0, prefix.size(), prefix) > 0;
    if (past_prefix || next == from) {
        return std::nullopt;
    }
    if (read_pages_ >= max_read_pages) {
        log(log_level::warning, "store table read in part",
            {{"table", options_.table}, {"rows", read_rows_.rows.size()}});
        // Rows that were not read must not count as removed.
        read_rows_.full_read = false;
        return std::nullopt;
    }
    return next;
}

bool config_follower::has_prefix(const std::string& key) const
{
    const auto& prefix = options_.row_prefix;
    return !prefix.empty() && key.compare(0, prefix.size(), prefix) == 0;
}

void config_follower::follow()
{
    if (stopped_ || !active_) {
        call_in_progress_ = false;
        return;
    }
    store_.follow(options_.table, store_version_, options_.wait, timeout_,
                  [this, alive = std::weak_ptr{alive_}](result<store_page> page) {
                      if (alive.expired()) {
                          return;
                      }
                      if (!page) {
                          schedule_retry(page.failure(), page.failure().code == errc::lost_history);
                          return;
                      }
                      on_call_succeeded();
                      on_changes(*page);
                  });
}

void config_follower::on_changes(const store_page& page)
{
    store_version_ = std::max(store_version_, page.version);
    followed_rows changed{false, {}, store_version_};
    std::copy_if(page.rows.begin(), page.rows.end(), std::back_inserter(changed.rows),
                 [this](const store_row& row) { return has_prefix(row.key); });
    if (!changed.rows.empty()) {
        on_rows_(changed);
    }
    for (const auto& row : page.rows) {
        if (row.key == options_.key && !row.removed) {
            apply_document(row.value);
        }
    }
    if (page.truncated && active_ && !stopped_) {
        read();
        return;
    }
    follow();
}

void config_follower::on_call_succeeded()
{
    backoff_ = {};
    timeout_ = options_.timeout;
    if (std::exchange(store_reachable_, true) == false) {
        log(log_level::info, "store regained",
            {{"table", options_.table}, {"config", version_}, {"version", store_version_}});
    }
    on_store_call_end_(true);
}

void config_follower::schedule_retry(const error& reason, bool full_read)
{
    if (stopped_) {
        return;
    }
    if (std::exchange(store_reachable_, false) != false) {
        log(log_level::warning, "store lost",
            {{"table", options_.table},
             {"error", reason.message()},
             {"config", version_},
             {"version", store_version_}});
    }
    on_store_call_end_(false);
    if (reason.code == errc::timeout) {
        timeout_ = std::min(timeout_ * 2, options_.max_timeout);
    }
    backoff_ = std::clamp(backoff_ * 2, initial_backoff, max_backoff);
    timer_.expires_after(backoff_);
    timer_.async_wait([this, full_read, alive = std::weak_ptr{alive_}](const std::error_code& ec) {
        if (ec || alive.expired()) {
            return;
        }
        if (full_read || store_version_ == 0) {
            read();
        }
        else {
            follow();
        }
    });
}

void config_follower::offer_document(const std::string& document)
{
    apply_document(document);
}

void config_follower::apply_document(const std::string& document)
{
    auto config = decode_(document);
    if (!config) {
        auto hash = content_hash(document);
        if (hash != last_rejected_hash_) {
            log(log_level::error, "configuration not readable; the last good one stays in force",
                {{"error", config.failure().message()}, {"config", version_}});
            last_rejected_hash_ = std::move(hash);
        }
        return;
    }
    if ((*config)->version <= version_) {
        return;
    }
    version_ = (*config)->version;
    on_change_(*config, std::make_shared<const std::string>(document));
}

} // namespace wagtailhatch
