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

} // namespace

node_registry::node_registry(asio::io_context& io, row_store& store, member self,
                             node_registry_options options, events on)
    : io_{io}
    , store_{store}
    , self_{std::move(self)}
    , options_{options}
    , events_{std::move(on)}
{
}

void node_registry::start()
{
    write_own();
    run_after(first_read_delay, [this] {
        if (pass_ == 0) {
            read_all();
        }
    });
}

void node_registry::set_active(bool active)
{
    active_ = active;
    if (active_ && pass_ > 0 && !call_in_progress_) {
        read_all();
    }
}

void node_registry::read_all()
{
    call_in_progress_ = true;
    read(++pass_, {});
}

void node_registry::stop()
{
    alive_.reset();
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
            read_all();
            return;
        }
        log(log_level::warning, "own row not written", {{"error", version.failure().message()}});
        write_backoff_ = next_backoff(write_backoff_);
        run_after(write_backoff_, [this] { write_own(); });
    });
}

void node_registry::read(std::uint64_t pass, const std::string& from)
{
    store_.read(nodes_table, from, options_.timeout,
                [this, pass, alive = std::weak_ptr{alive_}](result<store_page> page) {
                    if (alive.expired()) {
                        return;
                    }
                    if (page) {
                        apply(*page);
                    }
                    if (pass != pass_) {
                        return;
                    }
                    if (!page) {
                        log(log_level::warning, "nodes not read",
                            {{"error", page.failure().message()}, {"version", position_}});
                        read_backoff_ = next_backoff(read_backoff_);
                        run_after(read_backoff_, [this, pass] { read(pass, {}); });
                        return;
                    }
                    read_backoff_ = {};
                    if (page->truncated && !page->rows.empty()) {
                        // The smallest key after the last one.
                        read(pass, page->rows.back().key + '\0');
                        return;
                    }
                    position_ = page->version;
                    log(log_level::info, "store table read",
                        {{"table", nodes_table}, {"era", page->era}, {"version", position_}});
                    events_.read();
                    run_after(options_.pause, [this, pass] { follow(pass); });
                });
}

void node_registry::follow(std::uint64_t pass)
{
    if (pass != pass_) {
        return;
    }
    if (!active_) {
        call_in_progress_ = false;
        return;
    }
    store_.follow(nodes_table, position_, options_.wait, options_.timeout,
                  [this, pass, alive = std::weak_ptr{alive_}](result<store_page> page) {
                      if (alive.expired() || pass != pass_) {
                          return;
                      }
                      if (!page) {
                          read_backoff_ = next_backoff(read_backoff_);
                          const bool again = page.failure().code == errc::lost_history;
                          run_after(read_backoff_,
                                    [this, pass, again] { again ? read(pass, {}) : follow(pass); });
                          return;
                      }
                      read_backoff_ = {};
                      position_ = std::max(position_, page->version);
                      apply(*page);
                      run_after(options_.pause, [this, pass] { follow(pass); });
                  });
}

void node_registry::apply(const store_page& page)
{
    std::vector<peer_address> found;
    for (const auto& row : page.rows) {
        if (row.table != nodes_table && !row.table.empty()) {
            continue;
        }
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
