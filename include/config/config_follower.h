#pragma once

#include "include/config/configuration.h"
#include "include/core/result.h"
#include "include/store/row_store.h"
#include "include/store/store_position.h"
#include "include/store/table_reader.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailhatch {

struct config_follower_options {
    std::string table;
    std::string key;
    /// Rows whose keys have this prefix are passed on unchanged; empty: none. Must sort after `key`.
    std::string row_prefix{};
};

/// Rows with the prefix config_follower_options::row_prefix.
struct followed_rows {
    bool full_read = false; ///< All rows as of the version; otherwise those that were changed.
    std::vector<store_row> rows;
    store_position as_of;
};

/// Watches the operators' configuration in the store by long polling and accepts newer versions from peers.
/// A document that cannot be decoded leaves the last valid one in force. The version never decreases, also
/// not if the store returns from an older copy. Single-threaded.
class config_follower final : private table_events {
public:
    using decoder = std::function<result<std::shared_ptr<const configuration>>(std::string_view document)>;
    using listener = std::function<void(std::shared_ptr<const configuration>,
                                        std::shared_ptr<const std::string> document)>;

    config_follower(asio::io_context& io, row_store& store, config_follower_options options, decoder decode,
                    listener changed);
    ~config_follower() override = default;
    config_follower(const config_follower&) = delete;
    config_follower& operator=(const config_follower&) = delete;

    void start() { reader_.read(); }
    void stop() { reader_.stop(); }

    /// As table_reader::set_active().
    void set_active(bool active) { reader_.set_active(active); }

    /// As table_reader::on_era().
    void on_store_era(std::uint64_t era) { reader_.on_era(era); }

    /// Sets the callback for the end of each store call; its argument is true if the store has answered.
    void on_store_call_end(std::function<void(bool)> ended) { on_store_call_end_ = std::move(ended); }

    /// Sets the callback for rows with the prefix. It runs after each full read and for each change, before
    /// the configuration of the same answer is applied.
    void on_rows(std::function<void(const followed_rows&)> changed) { on_rows_ = std::move(changed); }

    /// Applies a document received from a peer if it can be decoded and its version is newer.
    void offer_document(const std::string& document);

    std::uint64_t version() const { return version_; }

    /// Whether the last call to the store succeeded.
    bool store_reachable() const { return reader_.store_reachable(); }

private:
    // table_events
    void on_read_begin() override;
    std::optional<std::string> next_key(const std::string& smallest) override;
    void on_read_page(const std::vector<store_row>& rows, bool last) override;
    void on_read_end(store_position as_of, bool complete) override;
    void on_changes(const std::vector<store_row>& rows, store_position as_of) override;
    void on_call_end(bool answered) override { on_store_call_end_(answered); }

    bool has_prefix(const std::string& key) const;
    void apply_document(const std::string& document);

    config_follower_options options_;
    decoder decode_;
    listener on_change_;
    table_reader reader_;
    std::uint64_t version_ = 0;
    std::string last_rejected_hash_; ///< Hash of the last document that failed to decode; logged once.
    std::function<void(bool)> on_store_call_end_ = [](bool) {};
    std::function<void(const followed_rows&)> on_rows_ = [](const followed_rows&) {};
    std::vector<store_row> read_rows_;    ///< Rows with the prefix that the current full read has found.
    std::optional<std::string> document_; ///< Configuration that the current full read has found.
};

} // namespace wagtailhatch
