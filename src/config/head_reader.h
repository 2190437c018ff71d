#pragma once

#include "include/config/config_state.h"
#include "include/core/clock.h"
#include "include/core/random_source.h"
#include "include/platform/table_service.h"
#include "src/config/change_record.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace wagtailhatch {

/// Reads the head row and the contents that it names from the platform, one operation at a time.
/// Held by a shared_ptr; completions that arrive after its destruction are ignored.
class head_reader : public std::enable_shared_from_this<head_reader> {
public:
    /// `at` is when the read began: the head was the platform's at that time or later.
    using head_callback = std::function<void(result<config_head> head, steady_time at)>;

    head_reader(const clock& time, random_source& random, table_service& table, object_store& objects,
                duration first_backoff, duration max_backoff);

    /// Reads the head unless an operation is under way. A missing row is a head of version 0.
    void read(head_callback done);

    /// Moves the state to a newer head: by change records, or by whole documents where they do not serve.
    void fetch(config_state& state, const config_head& head, std::function<void(bool applied)> done);

    /// The last reads failed and the next one should wait.
    bool backing_off() const { return time_.now() < backoff_until_; }

    std::uint64_t reads() const { return reads_; }

private:
    void count_failure();
    void fetch_whole(config_state& state, const config_head& head, std::function<void(bool)> done);

    const clock& time_;
    random_source& random_;
    table_service& table_;
    object_store& objects_;
    duration first_backoff_;
    duration max_backoff_;
    duration backoff_;
    steady_time backoff_until_{};
    steady_time busy_until_{};
    std::uint64_t reads_ = 0;
};

} // namespace wagtailhatch
