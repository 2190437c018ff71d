#pragma once

#include "include/core/clock.h"
#include "include/core/result.h"
#include "include/store/store_position.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace wagtailhatch {

/// A row of a table of the platform's store.
struct store_row {
    std::string table;
    std::string key;
    std::string value;         ///< Arbitrary bytes.
    std::uint64_t version = 0; ///< Version of the transaction that wrote the row.
    bool removed = false;      ///< Set only in the result of follow(): the row was removed.

    bool operator==(const store_row&) const = default;
};

/// Rows of a table as of one version, or the changes up to it.
struct store_page {
    std::vector<store_row> rows;
    std::uint64_t version = 0; ///< Newest transaction version covered by the page.
    bool truncated = false;    ///< More rows follow after the last one.
    std::uint64_t era = 0;     ///< Of the store at the time of the answer; 0 if it names none.
};

/// Condition of a conditional write: the version that the row must have for the transaction to apply. Version
/// 0 means that the row must not exist.
struct store_precondition {
    std::string table;
    std::string key;
    std::uint64_t version = 0;
};

/// A transaction; applied atomically.
struct store_transaction {
    std::vector<store_precondition> preconditions;
    std::vector<store_row> set;    ///< Only table, key and value are used.
    std::vector<store_row> remove; ///< Only table and key are used.
};

/// Transactional, versioned key-value store of the platform. Holds the data that must survive the loss of
/// every node. Completions run on the caller's event loop, never from within the call.
///
/// Errors: errc::conflict (a precondition does not hold), errc::unavailable (certainly no effect),
/// errc::lost_history (the changes after the given version are no longer available; start again with read()),
/// errc::timeout (a write may have taken effect or may still do so), errc::malformed (the response could not
/// be parsed).
class row_store {
public:
    virtual ~row_store() = default;

    /// Reads the rows of a table in ascending key order, starting at the key `from`. Fails with errc::timeout
    /// if the store has not answered after `timeout`.
    virtual void read(const std::string& table, const std::string& from, std::chrono::milliseconds timeout,
                      std::function<void(result<store_page>)> done) = 0;

    /// Long poll for the changes of a table after a version; the store waits up to `wait` for the first
    /// change. Fails with errc::timeout if it has not answered after `wait` and `timeout`.
    virtual void follow(const std::string& table, std::uint64_t after, std::chrono::milliseconds wait,
                        std::chrono::milliseconds timeout, std::function<void(result<store_page>)> done) = 0;

    /// Applies a transaction. Reports its position in the store's history.
    virtual void commit(const store_transaction& transaction,
                        std::function<void(result<store_position>)> done) = 0;
};

} // namespace wagtailhatch
