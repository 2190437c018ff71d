#include "include/config/config_follower.h"

#include "include/config/config_documents.h"
#include "include/observe/logging.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace wagtailhatch {
namespace {

using namespace std::chrono_literals;

table_reader_options make_reader_options(const config_follower_options& options)
{
    table_reader_options out;
    out.table = options.table;
    out.first_key = options.key;
    // An idle call ends often, because only its end shows that the store still answers. A call that hangs
    // must end before the node counts as connected to the store again.
    out.wait = 800ms;
    out.timeout = 1000ms;
    out.max_timeout = 2000ms;
    out.initial_backoff = 100ms;
    out.max_backoff = 800ms;
    return out;
}

} // namespace

config_follower::config_follower(asio::io_context& io, row_store& store, config_follower_options options,
                                 decoder decode, listener changed)
    : options_{std::move(options)}
    , decode_{std::move(decode)}
    , on_change_{std::move(changed)}
    , reader_{io, store, make_reader_options(options_), *this}
{
}

void config_follower::on_read_begin()
{
    read_rows_.clear();
    document_.reset();
}

std::optional<std::string> config_follower::next_key(const std::string& smallest)
{
    const auto& prefix = options_.row_prefix;
    if (prefix.empty()) {
        return std::nullopt;
    }
    // Keys between the configuration and the prefix are not needed.
    auto next = std::max(smallest, prefix);
    return next.compare(0, prefix.size(), prefix) > 0 ? std::nullopt : std::optional{std::move(next)};
}

void config_follower::on_read_page(const std::vector<store_row>& rows, bool last)
{
    for (const auto& row : rows) {
        if (row.key == options_.key) {
            document_ = row.value;
        }
        else if (has_prefix(row.key)) {
            read_rows_.push_back(row);
        }
    }
    // The first configuration makes this node serve, so the other rows must be known before it.
    if (!last && version_ > 0 && document_) {
        apply_document(*std::exchange(document_, std::nullopt));
    }
}

void config_follower::on_read_end(store_position as_of, bool complete)
{
    // Rows that were not read must not count as removed.
    on_rows_({complete, std::exchange(read_rows_, {}), as_of});
    if (document_) {
        apply_document(*std::exchange(document_, std::nullopt));
    }
}

void config_follower::on_changes(const std::vector<store_row>& rows, store_position as_of)
{
    followed_rows changed{false, {}, as_of};
    std::copy_if(rows.begin(), rows.end(), std::back_inserter(changed.rows),
                 [this](const store_row& row) { return has_prefix(row.key); });
    if (!changed.rows.empty()) {
        on_rows_(changed);
    }
    for (const auto& row : rows) {
        if (row.key == options_.key && !row.removed) {
            apply_document(row.value);
        }
    }
}

bool config_follower::has_prefix(const std::string& key) const
{
    const auto& prefix = options_.row_prefix;
    return !prefix.empty() && key.compare(0, prefix.size(), prefix) == 0;
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
