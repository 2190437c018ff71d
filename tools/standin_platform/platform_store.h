#pragma once

#include "include/core/clock.h"
#include "include/http/http_message.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace wagtailhatch::standin {

/// Faults to inject, set by tests with POST /control. Operator writes are not affected.
struct store_faults {
    int status = 0;      ///< Returned for each node call instead of executing it, such as 429 or 503; 0: off.
    bool silent = false; ///< Calls are neither executed nor answered.
    bool lose_answers = false;                ///< Writes are executed but not answered.
    std::chrono::milliseconds delay{0};       ///< Added before each response.
    std::chrono::milliseconds late_writes{0}; ///< Writes are executed after this time and never answered.
};

/// In-memory key-value store with the platform's interface: rows in tables under one version counter,
/// transactions with version preconditions (compare-and-set), and long-poll change feeds. It can return from
/// an older copy: it then loses the writes since, gives their versions out again and names a new era.
class platform_store {
public:
    using response_callback = std::function<void(http_response)>;

    /// The arguments are rate limits in calls per second; calls beyond them are rejected with 429.
    platform_store(double writes_per_second, double reads_per_second);

    /// Calls `respond` at once, or for a feed as soon as it has changes or its wait has expired. Never calls
    /// it if an injected fault drops the response.
    void handle(const http_request& request, steady_time now, const response_callback& respond);

    /// Stores the operators' configuration document.
    void set_config(const std::string& document);

    /// Answers feeds whose wait has expired and executes the delayed writes that are due.
    void tick(steady_time now);

    const store_faults& faults() const { return faults_; }

private:
    struct row {
        std::string value; ///< Base64-encoded.
        std::uint64_t version = 0;
        bool removed = false;
    };
    using row_key = std::pair<std::string, std::string>; ///< Table and key.
    using table_rows = std::map<row_key, row>;
    /// The content at one time, before the write that follows.
    struct copy {
        steady_time made{};
        table_rows rows;
        std::uint64_t version = 0;
    };
    struct pending_feed {
        std::string table;
        std::uint64_t after = 0;
        steady_time until{};
        response_callback respond;
    };
    /// Token bucket with a capacity of one second's rate.
    struct bucket {
        double rate = 0; ///< Tokens per second.
        double tokens = 0;
        steady_time last_refill{};
    };

    static bool take_token(bucket& b, steady_time now);
    http_response transact(const nlohmann::json& body);
    http_response read(const std::map<std::string, std::string>& query) const;
    void long_poll(const std::map<std::string, std::string>& query, steady_time now,
                   const response_callback& respond);
    void control(const nlohmann::json& body);
    void save_copy();
    /// Returns from the copy as of this long ago. The operators then write again what they had written.
    void restore(std::chrono::milliseconds age);
    /// Adds the era to each response.
    response_callback with_era(const response_callback& respond) const;
    void answer_feeds();
    nlohmann::json changes(const std::string& table, std::uint64_t after) const;

    table_rows rows_;
    std::uint64_t version_ = 1;
    std::uint64_t era_ = 1;
    std::deque<copy> copies_;
    steady_time now_{};                ///< Of the last call or tick.
    std::uint64_t oldest_version_ = 0; ///< Feeds from an older version get 410: their history was dropped.
    std::deque<pending_feed> feeds_;
    std::deque<std::pair<steady_time, nlohmann::json>> delayed_writes_;
    store_faults faults_;
    bucket writes_;
    bucket reads_;
    /// Kept alive while silent: destroying a responder would answer its call with an error.
    std::vector<response_callback> unanswered_;
};

} // namespace wagtailhatch::standin
