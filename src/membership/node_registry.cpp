#include "include/membership/node_registry.h"

#include "include/observe/logging.h"

#include <algorithm>
#include <utility>

namespace wagtailhatch {
namespace {

using namespace std::chrono_literals;

constexpr duration initial_backoff = 150ms;
constexpr duration max_backoff = 2s;
// Maximum delay of the first read if the store does not answer the write of the own row.
constexpr duration first_read_delay = 300ms;

duration next_backoff(duration last)
{
    return std::clamp(last * 2, initial_backoff, max_backoff);
}

table_reader_options make_reader_options(const node_registry_options& options)
{
    table_reader_options out;
    out.table = nodes_table;
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

void node_registry::write_own()
{
    store_transaction t;
    t.set.push_back({nodes_table, self_.address, self_.service + ' ' + self_.data_centre, 0, false});
    store_.commit(t, [this, alive = std::weak_ptr{alive_}](const result<store_position>& version) {
        if (alive.expired()) {
            return;
        }
        if (version) {
            own_version_ = version->version;
            write_backoff_ = {};
            reader_.read();
            return;
        }
        log(log_level::warning, "own row not written", {{"error", version.failure().message()}});
        write_backoff_ = next_backoff(write_backoff_);
        run_after(write_backoff_, [this] { write_own(); });
    });
}

void node_registry::on_read_page(const std::vector<store_row>& rows, bool /*last*/)
{
    std::vector<peer_address> found;
    for (const auto& row : rows) {
        if (row.removed) {
            events_.removed(row.key);
        }
        else {
            found.push_back(row.key);
        }
    }
    if (!found.empty()) {
        events_.found(found);
    }
}

void node_registry::on_read_end(store_position /*as_of*/, bool /*complete*/)
{
    events_.read();
}

void node_registry::on_changes(const std::vector<store_row>& rows, store_position /*as_of*/)
{
    on_read_page(rows, true);
}

void node_registry::leave(std::function<void()> done)
{
    store_transaction t;
    // A removal that takes effect late must not remove the row of the next process on this address.
    if (own_version_ > 0) {
        t.preconditions.push_back({nodes_table, self_.address, own_version_});
    }
    t.remove.push_back({nodes_table, self_.address, {}, 0, false});
    store_.commit(t, [done = std::move(done)](const result<store_position>& version) {
        if (!version) {
            log(log_level::warning, "own row not removed", {{"error", version.failure().message()}});
        }
        done();
    });
}

} // namespace wagtailhatch
