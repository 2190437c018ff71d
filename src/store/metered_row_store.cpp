#include "src/store/metered_row_store.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace wagtailhatch {
namespace {

enum class call_outcome : std::uint8_t {
    done,
    conflict,
    unavailable,
    lost_history,
    timeout,
    other,
};

constexpr std::array<std::string_view, 6> call_outcome_names{"done",         "conflict", "unavailable",
                                                             "lost_history", "timeout",  "other"};

call_outcome outcome_of(const std::error_code& code)
{
    if (code == errc::conflict) {
        return call_outcome::conflict;
    }
    if (code == errc::unavailable) {
        return call_outcome::unavailable;
    }
    if (code == errc::lost_history) {
        return call_outcome::lost_history;
    }
    if (code == errc::timeout) {
        return call_outcome::timeout;
    }
    return call_outcome::other;
}

/// Counters for one kind of call, indexed by call_outcome.
class call_counters {
public:
    call_counters(metrics& registry, const std::string& call)
    {
        counters_.reserve(call_outcome_names.size());
        for (const auto name : call_outcome_names) {
            counters_.push_back(registry.counter("wh_store_calls_total", "Calls to the store, by outcome",
                                                 {{"call", call}, {"outcome", std::string{name}}}));
        }
    }

    template <typename Value>
    void count(const result<Value>& r)
    {
        const auto outcome = r ? call_outcome::done : outcome_of(r.failure().code);
        counters_[static_cast<std::size_t>(outcome)].add();
    }

    /// Wraps done so that the result is counted before it is passed on. The object must outlive the wrapper.
    template <typename Value>
    std::function<void(result<Value>)> counted(std::function<void(result<Value>)> done)
    {
        return [this, done = std::move(done)](result<Value> r) {
            count(r);
            done(std::move(r));
        };
    }

private:
    std::vector<counter_metric> counters_;
};

class metered_row_store final : public row_store {
public:
    metered_row_store(row_store& store, metrics& registry)
        : store_{store}
        , reads_{registry, "read"}
        , follows_{registry, "follow"}
        , commits_{registry, "commit"}
    {
    }

    void read(const std::string& table, const std::string& from, std::chrono::milliseconds timeout,
              std::function<void(result<store_page>)> done) override
    {
        store_.read(table, from, timeout, reads_.counted(std::move(done)));
    }

    void follow(const std::string& table, std::uint64_t after, std::chrono::milliseconds wait,
                std::chrono::milliseconds timeout, std::function<void(result<store_page>)> done) override
    {
        store_.follow(table, after, wait, timeout, follows_.counted(std::move(done)));
    }

    void commit(const store_transaction& transaction,
                std::function<void(result<store_position>)> done) override
    {
        store_.commit(transaction, commits_.counted(std::move(done)));
    }

private:
    row_store& store_;
    call_counters reads_;
    call_counters follows_;
    call_counters commits_;
};

} // namespace

std::unique_ptr<row_store> make_metered_row_store(row_store& store, metrics& registry)
{
    return std::make_unique<metered_row_store>(store, registry);
}

} // namespace wagtailhatch
