#include "include/membership/node_registry.h"

#include "include/observe/logging.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace wagtailhatch {
namespace {

using namespace std::chrono_literals;

constexpr duration initial_backoff = 150ms;
constexpr duration max_backoff = 2s;
// Maximum delay of the first read if the store does not answer the write of the own row.
constexpr duration first_read_delay = 300ms;
// All nodes write their rows again after the store's return, and one part takes a bounded rate of writes.
constexpr duration rewrite_spread = 1s;
// How long the incarnation of a node that has left is kept. A copy of the store is at most some seconds old.
constexpr duration departure_memory = 60s;
// Pages of up to 500 rows, for more nodes than any fleet has.
constexpr std::size_t max_pages = 200;

std::string process_name(std::uint64_t incarnation)
{
    return fmt::format("{:016x}", incarnation);
}

/// Value of a node's row. Its end names the process, because versions are given out again in a new era.
std::string row_value(const member& node)
{
    return fmt::format("{} {} {}", node.service, node.data_centre, process_name(node.incarnation));
}

/// Delay of this node's write within rewrite_spread.
duration rewrite_delay(const peer_address& address)
{
    const auto spread = static_cast<std::uint64_t>(rewrite_spread.count());
    return duration{static_cast<duration::rep>(XXH64(address.data(), address.size(), 0) % spread)};
}

duration next_backoff(duration last)
{
    return std::clamp(last * 2, initial_backoff, max_backoff);
}

table_reader_options make_reader_options(const node_registry_options& options)
{
    table_reader_options out;
    out.table = nodes_table;
    out.max_pages = max_pages;
    out.wait = options.wait;
    out.timeout = options.timeout;
    out.max_timeout = options.timeout;
    out.pause = options.pause;
    out.initial_backoff = initial_backoff;
    out.max_backoff = max_backoff;
    return out;
}

} // namespace

node_registry::node_registry(asio::io_context& io, row_store& store, member self,
                             node_registry_options options, events on)
    : io_{io}
    , store_{store}
    , self_{std::move(self)}
    , timeout_{options.timeout}
    , events_{std::move(on)}
    , reader_{io, store, make_reader_options(options), *this}
{
}

void node_registry::start()
{
    write_own();
    run_after(first_read_delay, [this] {
        if (!reader_.started()) {
            reader_.read();
        }
    });
}

void node_registry::stop()
{
    alive_.reset();
    reader_.stop();
}

void node_registry::run_after(duration wait, std::function<void()> task)
{
    const auto timer = std::make_shared<asio::steady_timer>(io_, wait);
    timer->async_wait([timer, task = std::move(task), alive = std::weak_ptr{alive_}](const std::error_code&) {
        if (!alive.expired()) {
            task();
        }
    });
}

void node_registry::write_own_after(duration wait)
{
    if (!std::exchange(write_pending_, true)) {
        run_after(wait, [this] { write_own(); });
    }
}

void node_registry::write_own()
{
    if (left_) {
        return;
    }
    write_pending_ = true;
    store_transaction t;
    t.set.push_back({nodes_table, self_.address, row_value(self_), 0, false});
    store_.commit(t, [this, alive = std::weak_ptr{alive_}](const result<store_position>& position) {
        if (!alive.expired()) {
            on_own_written(position);
        }
    });
}

void node_registry::on_own_written(const result<store_position>& position)
{
    if (position) {
        // An answer that names no era is taken for one of the era known before.
        own_ = {position->era == 0 ? reader_.position().era : position->era, position->version};
    }
    if (!position || own_row_outdated()) {
        log(log_level::warning, "own row not written",
            {{"error", position ? "answer of an older era of the store" : position.failure().message()}});
        write_backoff_ = next_backoff(write_backoff_);
        run_after(write_backoff_, [this] { write_own(); });
        return;
    }
    write_backoff_ = {};
    write_pending_ = false;
    reader_.read();
}

bool node_registry::own_row_outdated() const
{
    return own_.version > 0 && own_.era < reader_.position().era;
}

void node_registry::on_era(std::uint64_t era)
{
    if (own_row_outdated()) {
        log(log_level::info, "own row to be written again", {{"era", era}, {"written", own_.era}});
        write_own_after(rewrite_delay(self_.address));
    }
}

void node_registry::on_node_left(const peer_address& address, std::uint64_t incarnation)
{
    departed_[address] = {incarnation, reader_.position().era};
    run_after(departure_memory, [this, address, incarnation] {
        const auto found = departed_.find(address);
        if (found != departed_.end() && found->second.incarnation == incarnation) {
            departed_.erase(found);
        }
    });
}

bool node_registry::has_left(const store_row& row) const
{
    const auto found = departed_.find(row.key);
    return found != departed_.end() && row.value.ends_with(' ' + process_name(found->second.incarnation));
}

void node_registry::remove_restored(const store_row& row)
{
    store_transaction t;
    t.preconditions.push_back({nodes_table, row.key, row.version});
    t.remove.push_back({nodes_table, row.key, {}, 0, false});
    store_.commit(t, [node = row.key](const result<store_position>& position) {
        log(log_level::info, "restored row of a node that has left",
            {{"node", node}, {"removed", static_cast<bool>(position)}});
    });
}

void node_registry::apply(const store_row& row, std::vector<peer_address>& found)
{
    if (row.removed) {
        events_.removed(row.key);
        if (row.key == self_.address && own_.version > 0 && row.version > own_.version) {
            write_own_after({});
        }
        return;
    }
    if (!has_left(row)) {
        found.push_back(row.key);
        return;
    }
    if (departed_.at(row.key).era < reader_.position().era) {
        remove_restored(row);
    }
}

void node_registry::apply(const std::vector<store_row>& rows)
{
    std::vector<peer_address> found;
    for (const auto& row : rows) {
        apply(row, found);
    }
    if (!found.empty()) {
        events_.found(found);
    }
}

void node_registry::on_read_page(const std::vector<store_row>& rows, bool /*last*/)
{
    own_row_seen_ = own_row_seen_ || std::any_of(rows.begin(), rows.end(), [this](const store_row& row) {
                        return row.key == self_.address;
                    });
    apply(rows);
}

void node_registry::on_read_end(store_position as_of, bool complete)
{
    if (!complete) {
        return;
    }
    events_.read();
    const bool acknowledged = own_.version > 0 && own_ <= as_of;
    if (acknowledged && !own_row_seen_) {
        log(log_level::warning, "own row missing", {{"era", as_of.era}, {"version", as_of.version}});
        write_own_after(rewrite_delay(self_.address));
    }
}

void node_registry::on_changes(const std::vector<store_row>& rows, store_position /*as_of*/)
{
    apply(rows);
}

void node_registry::leave(std::function<void()> done)
{
    left_ = true;
    // A removal that takes effect late must not remove the row of the next process on this address.
    if (own_.version > 0 && !own_row_outdated()) {
        remove_own(own_.version, done);
        return;
    }
    store_.read(
        nodes_table, self_.address, timeout_,
        [this, done = std::move(done), alive = std::weak_ptr{alive_}](const result<store_page>& page) {
            const bool found = !alive.expired() && page && !page->rows.empty() &&
                               page->rows.front().key == self_.address &&
                               page->rows.front().value == row_value(self_);
            if (found) {
                remove_own(page->rows.front().version, done);
                return;
            }
            done();
        });
}

void node_registry::remove_own(std::uint64_t version, const std::function<void()>& done)
{
    store_transaction t;
    t.preconditions.push_back({nodes_table, self_.address, version});
    t.remove.push_back({nodes_table, self_.address, {}, 0, false});
    store_.commit(t, [done](const result<store_position>& position) {
        if (!position) {
            log(log_level::warning, "own row not removed", {{"error", position.failure().message()}});
        }
        done();
    });
}

} // namespace wagtailhatch
