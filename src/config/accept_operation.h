#pragma once

#include "include/config/config_store.h"
#include "src/config/change_record.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace wagtailhatch {

/// One accept, from reading the head to knowing whether the head moved.
class accept_operation : public std::enable_shared_from_this<accept_operation> {
public:
    using completion = std::function<void(accept_outcome)>;

    accept_operation(config_store& store, table_service& table, object_store& objects, accept_request request,
                     completion done);

    void start();

private:
    void read_accepted();
    void plan();
    bool plan_documents();
    bool check_whole();
    void report_conflict(const named_document& document, std::uint64_t made_on);
    void describe_conflict(const named_document& document, std::uint64_t made_on,
                           const std::vector<change_record>& changes);
    void upload();
    void write_head();
    void settle();
    void settle_with(const head_row& row);
    void finish(accept_status status, std::string detail);

    config_store& store_;
    table_service& table_;
    object_store& objects_;
    accept_request request_;
    completion done_;

    head_row read_;              ///< What the accept builds on.
    document_set before_;        ///< Documents of read_.
    document_set after_;         ///< Documents to be in force.
    config_head next_;           ///< Head to be written.
    std::string record_text_;    ///< Change record of next_.
    int attempts_ = 0;           ///< Platform operations that may still fail are bounded by this.
    bool maybe_written_ = false; ///< A write of next_ had no certain answer.
};

} // namespace wagtailhatch
