#pragma once

#include "include/core/clock.h"
#include "include/core/random_source.h"
#include "include/platform/table_service.h"
#include "src/membership/instance_row.h"
#include "src/membership/retry_delay.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace wagtailhatch {

/// Keeps one instance's row: written on start and on leaving, and tried again while the table is away.
class instance_registration {
public:
    /// Runs after each attempt with the row in force, or nothing while the table is unavailable.
    using report = std::function<void(std::optional<instance_row>)>;

    instance_registration(table_service& table, const clock& time, random_source& random, std::string key);

    /// Writes the row with an incarnation of at least row.incarnation that is above the stored one.
    void start(const instance_row& row, report done);

    /// Writes the row with state left, unless another process took the row over.
    void leave(const instance_row& row, report done);

    /// Runs what is due.
    void tick();

private:
    void attempt();
    void received(const result<table_row>& found);
    void write(const write_condition& condition);
    void written(const result<std::string>& etag);
    void finish();
    void postpone();

    table_service& table_;
    std::string key_;
    retry_delay delay_;
    std::optional<instance_row> wanted_;
    report done_;
    member_state writing_ = member_state::joining; ///< State in the row that is being written.
    bool in_flight_ = false;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0); ///< Completions outlive this object.
};

} // namespace wagtailhatch
