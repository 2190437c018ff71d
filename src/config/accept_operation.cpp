#include "src/config/accept_operation.h"

#include "src/config/config_fetch.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace wagtailhatch {
namespace {

constexpr int max_attempts = 10;
constexpr std::size_t max_patches_size = std::size_t{64} * 1024;
constexpr std::uint64_t max_explained = 500; ///< Versions that are read one by one to explain a conflict.

/// Version that the operator's copy was made on; nothing if the text is no valid document.
std::optional<std::uint64_t> made_on_of(const named_document& document)
{
    if (document.name == base_document_name) {
        const auto base = parse_base(document.file, document.text);
        return base ? std::optional{base.value->made_on} : std::nullopt;
    }
    const auto overlay = parse_overlay(document.file, document.text);
    return overlay ? std::optional{overlay.value->made_on} : std::nullopt;
}

std::size_t size_of(const std::vector<document_patch>& patches)
{
    std::size_t size = 0;
    for (const auto& patch : patches) {
        size += patch.middle.size();
    }
    return size;
}

} // namespace

accept_operation::accept_operation(config_store& store, table_service& table, object_store& objects,
                                   accept_request request, completion done)
    : store_{store}
    , table_{table}
    , objects_{objects}
    , request_{std::move(request)}
    , done_{std::move(done)}
{
}

void accept_operation::finish(accept_status status, std::string detail)
{
    const auto version = status == accept_status::accepted ? next_.version : read_.head.version;
    done_({status, version, {}, std::move(detail)});
}

void accept_operation::start()
{
    if (++attempts_ > max_attempts) {
        finish(maybe_written_ ? accept_status::unknown : accept_status::unavailable,
               "the platform gave no useful answer");
        return;
    }
    store_.read_head([self = shared_from_this()](result<head_row> row) {
        if (!row) {
            self->finish(accept_status::unavailable, row.failure().message());
            return;
        }
        self->read_ = std::move(*row);
        self->read_accepted();
    });
}

void accept_operation::read_accepted()
{
    store_.read_documents(read_.head, [self = shared_from_this()](result<document_set> documents) {
        if (!documents) {
            self->finish(accept_status::unavailable, documents.failure().message());
            return;
        }
        self->before_ = std::move(*documents);
        self->plan();
    });
}

void accept_operation::plan()
{
    after_ = before_;
    next_ = read_.head;
    ++next_.version;
    if (!plan_documents() || !check_whole()) {
        return;
    }
    if (after_ == before_) {
        finish(accept_status::unchanged, "the documents are already in force");
        return;
    }
    upload();
}

/// False if the operation has ended with a conflict.
bool accept_operation::plan_documents()
{
    for (const auto& document : request_.documents) {
        const auto text = accepted_text(document.text);
        const auto current = read_.head.documents.find(document.name);
        const bool exists = current != read_.head.documents.end();
        if (exists && before_.at(document.name) == text) {
            continue;
        }
        const auto made_on = made_on_of(document);
        if (made_on && (exists ? current->second.changed > *made_on : *made_on > 0)) {
            report_conflict(document, *made_on);
            return false;
        }
        if (made_on && *made_on > read_.head.version) {
            report_conflict(document, *made_on);
            return false;
        }
        after_[document.name] = text;
        next_.documents[document.name] = {content_hash(text), next_.version};
    }
    for (const auto& name : request_.remove) {
        after_.erase(name);
        next_.documents.erase(name);
    }
    return true;
}

/// Checks the files as the operator wrote them together with what stays in force.
bool accept_operation::check_whole()
{
    std::vector<named_document> all = request_.documents;
    for (const auto& [name, text] : after_) {
        const bool given = std::any_of(all.begin(), all.end(),
                                       [&, n = &name](const named_document& d) { return d.name == *n; });
        if (!given) {
            all.push_back({name, fmt::format("{} (in force)", name), text});
        }
    }
    auto findings = check_documents(all);
    if (findings.empty()) {
        return true;
    }
    done_({accept_status::invalid, read_.head.version, std::move(findings), "the files have mistakes"});
    return false;
}

void accept_operation::report_conflict(const named_document& document, std::uint64_t made_on)
{
    const auto& head = read_.head;
    if (made_on > head.version) {
        finish(accept_status::conflict,
               fmt::format("{}: made_on is {}, but version {} is in force; the file belongs to another "
                           "platform, or made_on was edited",
                           document.file, made_on, head.version));
        return;
    }
    if (made_on == 0 || head.version - made_on > max_explained) {
        describe_conflict(document, made_on, {});
        return;
    }
    fetch_changes(objects_, head, made_on,
                  [self = shared_from_this(), document, made_on](result<std::vector<change_record>> changes) {
                      self->describe_conflict(document, made_on,
                                              changes ? *changes : std::vector<change_record>{});
                  });
}

void accept_operation::describe_conflict(const named_document& document, std::uint64_t made_on,
                                         const std::vector<change_record>& changes)
{
    auto detail = fmt::format("{}: document '{}' was changed after version {}, on which the file was made\n",
                              document.file, document.name, made_on);
    std::string old_hash;
    for (const auto& change : changes) {
        for (const auto& changed : change.documents) {
            if (changed.name == document.name) {
                detail += fmt::format("version {} by {}\n", change.version, change.author);
                old_hash = old_hash.empty() ? changed.before : old_hash;
            }
        }
    }
    const auto current = before_.find(document.name);
    const auto now = current == before_.end() ? std::string{} : current->second;
    if (old_hash.empty()) {
        detail += "what is in force (-) against the file (+):\n";
        detail += describe_difference(now, accepted_text(document.text));
        finish(accept_status::conflict, std::move(detail));
        return;
    }
    fetch_object(objects_, old_hash, [self = shared_from_this(), detail, now](result<std::string> old) {
        auto whole = detail + "what changed since:\n";
        whole += old ? describe_difference(*old, now) : old.failure().message() + "\n";
        self->finish(accept_status::conflict, std::move(whole));
    });
}

void accept_operation::upload()
{
    change_record record;
    record.version = next_.version;
    record.previous = read_.head.change;
    record.id = request_.id;
    record.author = request_.author;
    std::vector<std::string> contents;
    for (const auto& [name, text] : after_) {
        const auto old = read_.head.documents.find(name);
        const auto before = old == read_.head.documents.end() ? std::string{} : old->second.hash;
        if (before != next_.documents.at(name).hash) {
            record.documents.push_back({name, before, next_.documents.at(name).hash});
            contents.push_back(text);
        }
    }
    for (const auto& name : request_.remove) {
        if (const auto old = read_.head.documents.find(name); old != read_.head.documents.end()) {
            record.documents.push_back({name, old->second.hash, {}});
        }
    }
    record.patches = make_patches(before_, after_);
    record.has_patches = size_of(record.patches) <= max_patches_size;
    record_text_ = encode_change(record);
    next_.change = content_hash(record_text_);
    contents.push_back(record_text_);

    auto waiting = std::make_shared<std::size_t>(contents.size());
    auto failure = std::make_shared<std::string>();
    for (const auto& content : contents) {
        objects_.put(content_hash(content), content,
                     [self = shared_from_this(), waiting, failure](const result<bool>& done) {
                         *failure = done ? *failure : done.failure().message();
                         if (--*waiting != 0) {
                             return;
                         }
                         if (failure->empty()) {
                             self->write_head();
                         }
                         else {
                             self->finish(accept_status::unavailable, *failure);
                         }
                     });
    }
}

void accept_operation::write_head()
{
    write_condition condition;
    if (!read_.etag.empty()) {
        condition = {write_condition::kind::must_match, read_.etag};
    }
    table_.write(std::string{config_head_key}, encode_head(next_), condition,
                 [self = shared_from_this()](const result<std::string>& etag) {
                     if (etag) {
                         self->finish(accept_status::accepted, {});
                         return;
                     }
                     const auto code = etag.failure().code;
                     self->maybe_written_ |= code != errc::conflict && code != errc::unavailable;
                     self->settle();
                 });
}

/// After a write without success the head decides: it holds this accept, or another one, or what was read.
void accept_operation::settle()
{
    if (++attempts_ > max_attempts) {
        finish(maybe_written_ ? accept_status::unknown : accept_status::unavailable,
               maybe_written_ ? "the answer to the write was lost and the head cannot be read; "
                                "run the same command again, it changes nothing twice"
                              : "the platform is unavailable; nothing was put in force");
        return;
    }
    store_.read_head([self = shared_from_this()](const result<head_row>& row) {
        if (row) {
            self->settle_with(*row);
        }
        else {
            self->settle();
        }
    });
}

void accept_operation::settle_with(const head_row& row)
{
    if (row.head.version < next_.version) {
        // A write that is still under way has the same condition, so that at most one of them counts.
        write_head();
        return;
    }
    fetch_changes(objects_, row.head, next_.version - 1,
                  [self = shared_from_this()](const result<std::vector<change_record>>& changes) {
                      if (!changes) {
                          self->settle();
                      }
                      else if (changes->front().id == self->request_.id) {
                          self->finish(accept_status::accepted, {});
                      }
                      else {
                          // The head moved, so that no write of this accept can count any more.
                          self->maybe_written_ = false;
                          self->start();
                      }
                  });
}

} // namespace wagtailhatch
