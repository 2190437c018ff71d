#pragma once

#include "include/config/config_state.h"
#include "include/platform/table_service.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailhatch {

constexpr std::string_view config_head_key = "config/head";

/// What `whctl accept` puts in force.
struct accept_request {
    std::vector<named_document> documents; ///< Only those that change; their text holds `made_on`.
    std::set<std::string> remove;          ///< Names of overlays to remove.
    std::string author;                    ///< For the change record.
    std::string id;                        ///< Random, unique: tells this accept from others.
};

enum class accept_status : std::uint8_t {
    accepted,
    unchanged,   ///< The documents are already in force.
    invalid,     ///< See findings; nothing was written.
    conflict,    ///< Another operator changed the same document; nothing was written. See detail.
    unavailable, ///< The platform is unavailable; nothing was put in force.
    unknown,     ///< No answer told whether the write took effect.
};

struct accept_outcome {
    accept_status status = accept_status::unavailable;
    std::uint64_t version = 0; ///< In force, if known.
    std::vector<finding> findings;
    std::string detail;
};

struct head_row {
    config_head head; ///< Version 0 if there is no row.
    std::string etag; ///< Empty if there is no row.
};

/// Reads and changes the accepted configuration on the platform. One thread. The services must outlive it;
/// completions run on the services' event loop.
class config_store {
public:
    config_store(table_service& table, object_store& objects);

    void read_head(std::function<void(result<head_row>)> done);
    void read_documents(const config_head& head, std::function<void(result<document_set>)> done);

    /// Checks everything, uploads the contents, and moves the head conditionally. The head moves once or not
    /// at all; a lost answer is settled by reading the head and the change records.
    void accept(accept_request request, std::function<void(accept_outcome)> done);

private:
    table_service& table_;
    object_store& objects_;
};

/// The row's value. Decoding fails with errc::malformed.
std::string encode_head(const config_head& head);
result<config_head> decode_head(std::string_view text);

/// Text of a file as it is accepted: the value of `made_on` is bookkeeping of the operator's copy and not
/// part of the content.
std::string accepted_text(std::string_view text);

/// The file's text with another `made_on`.
std::string with_made_on(std::string_view text, std::uint64_t version);

/// Lines that differ, "-" before and "+" after, without common leading and trailing lines.
std::string describe_difference(std::string_view before, std::string_view after);

} // namespace wagtailhatch
