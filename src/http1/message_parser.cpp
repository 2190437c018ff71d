#include "src/http1/message_parser.h"

#include "include/http/http_status.h"
#include "src/http/header_rules.h"
#include "src/http1/message_format.h"
#include "src/http1/status_line.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace wagtailhatch {
namespace {

constexpr int reject_message = -1;
constexpr int skip_body = 1; ///< Tells http-parser that the message has no body, whatever its head says.

/// Whether the body has no transfer coding but the one that is undone here, and so may be left out of the
/// head. http-parser looks for chunked as the last coding, and reads a response without it to the end of the
/// connection. read_as_chunked: what it decided.
bool valid_transfer_coding(const http_headers& headers, bool read_as_chunked)
{
    std::size_t codings = 0;
    std::size_t chunked = 0;
    for (const auto& field : headers) {
        if (equal_ignoring_case(field.name, "transfer-encoding")) {
            ++codings;
            chunked += is_chunked_coding(field.value) ? 1 : 0;
        }
    }
    return codings == (read_as_chunked ? 1 : 0) && codings == chunked;
}

} // namespace

message_parser::message_parser(message_role role, message_events& events, std::size_t max_head)
    : role_{role}
    , events_{events}
    , max_head_{max_head}
{
    reset();
}

void message_parser::reset(bool without_body)
{
    http_parser_init(&parser_, role_ == message_role::request ? HTTP_REQUEST : HTTP_RESPONSE);
    parser_.data = this;
    head_ = {};
    field_.clear();
    value_.clear();
    lines_ = {};
    chunks_.reset();
    next_part_.reset();
    status_line_.clear();
    head_bytes_ = 0;
    field_memory_ = 0;
    in_value_ = false;
    head_complete_ = false;
    ends_with_connection_ = false;
    complete_ = false;
    without_body_ = without_body;
}

void message_parser::end_header()
{
    if (in_value_) {
        head_.headers.push_back({std::move(field_), std::move(value_)});
        field_memory_ += role_ == message_role::response ? sizeof(http_header) : 0;
    }
    field_.clear();
    value_.clear();
    in_value_ = false;
}

bool message_parser::in_interim_response() const
{
    return role_ == message_role::response && http_status::is_interim(static_cast<int>(parser_.status_code));
}

int message_parser::finish_head()
{
    end_header();
    const bool valid_start = role_ == message_role::request || valid_status_line(status_line_);
    head_.chunked = (parser_.flags & F_CHUNKED) != 0;
    // http-parser accepts blanks in names, and frames the body by such names.
    if (parser_.http_major != 1 || !valid_start || !names_are_tokens(head_.headers) ||
        !valid_transfer_coding(head_.headers, head_.chunked)) {
        return reject_message;
    }
    head_complete_ = true;
    head_.keep_alive = http_should_keep_alive(&parser_) != 0;
    head_.minor_version = parser_.http_minor;
    if (parser_.content_length != std::numeric_limits<std::uint64_t>::max()) {
        head_.content_length = parser_.content_length;
    }
    if (role_ == message_role::request) {
        head_.method = http_method_str(static_cast<http_method>(parser_.method));
    }
    else {
        head_.status = static_cast<int>(parser_.status_code);
    }
    if (head_.chunked) {
        chunks_.emplace();
    }
    ends_with_connection_ = role_ == message_role::response && !head_.chunked && !head_.content_length;
    const bool interim = in_interim_response();
    if (!interim) {
        events_.on_head(std::move(head_));
    }
    head_ = {};
    // An interim response has no body, also if its head announces one: the final response follows.
    return without_body_ || interim ? skip_body : 0;
}

void message_parser::end_chunk_part(chunk_part next)
{
    next_part_ = next;
    http_parser_pause(&parser_, 1); // Returns from http_parser_execute() at the end of the part.
}

bool message_parser::valid_chunks(std::string_view bytes)
{
    if (!chunks_->accept(bytes)) {
        return false;
    }
    const auto next = std::exchange(next_part_, {});
    return !next || chunks_->end_part(*next);
}

const http_parser_settings& message_parser::settings()
{
    static const http_parser_settings table = [] {
        http_parser_settings s{};
        http_parser_settings_init(&s);
        s.on_url = [](http_parser* p, const char* at, std::size_t size) {
            self(p).head_.target.append(at, size);
            return 0;
        };
        s.on_header_field = [](http_parser* p, const char* at, std::size_t size) {
            auto& me = self(p);
            if (me.in_value_) {
                me.end_header();
            }
            if (me.field_memory_ > me.max_head_) {
                return reject_message;
            }
            // Trailers follow the body. They concern only this connection and are dropped.
            if (!me.head_complete_) {
                me.field_.append(at, size);
            }
            return 0;
        };
        s.on_header_value = [](http_parser* p, const char* at, std::size_t size) {
            auto& me = self(p);
            if (!me.head_complete_) {
                me.in_value_ = true;
                me.value_.append(at, size);
            }
            return 0;
        };
        s.on_headers_complete = [](http_parser* p) { return self(p).finish_head(); };
        s.on_body = [](http_parser* p, const char* at, std::size_t size) {
            self(p).events_.on_body({at, size});
            return 0;
        };
        s.on_chunk_header = [](http_parser* p) {
            self(p).end_chunk_part(p->content_length > 0 ? chunk_part::data : chunk_part::trailers);
            return 0;
        };
        s.on_chunk_complete = [](http_parser* p) {
            // The last chunk has no data, and its trailers end with the message.
            if ((p->flags & F_TRAILING) == 0) {
                self(p).end_chunk_part(chunk_part::size_line);
            }
            return 0;
        };
        s.on_message_complete = [](http_parser* p) {
            self(p).complete_ = true;
            self(p).end_chunk_part(chunk_part::size_line);
            return 0;
        };
        return s;
    }();
    return table;
}

void message_parser::keep_status_line(std::string_view bytes)
{
    if (role_ != message_role::response) {
        return;
    }
    if (status_line_.empty()) {
        bytes.remove_prefix(std::min(bytes.find_first_not_of("\r\n"), bytes.size()));
    }
    status_line_ += bytes.substr(0, status_line_prefix - status_line_.size());
}

std::size_t message_parser::execute(std::string_view bytes)
{
    if (bytes.empty()) {
        return 0; // For http-parser, no bytes are the end of the connection.
    }
    return http_parser_execute(&parser_, &settings(), bytes.data(), bytes.size());
}

parse_result message_parser::parse(std::string_view bytes)
{
    std::size_t consumed = 0;
    while (consumed < bytes.size()) {
        auto rest = bytes.substr(consumed);
        const bool in_head = !head_complete_;
        if (in_head) {
            // One byte beyond the limit is enough to detect that the head is too large.
            rest = rest.substr(0, max_head_ + 1 - std::min(head_bytes_, max_head_));
            rest = rest.substr(0, lines_.scan(rest));
            keep_status_line(rest);
        }
        const auto used = execute(rest);
        consumed += used;
        if (in_head) {
            head_bytes_ += used;
        }
        else if (chunks_ && !valid_chunks(rest.substr(0, used))) {
            return {parse_status::malformed, consumed};
        }
        if (HTTP_PARSER_ERRNO(&parser_) == HPE_PAUSED) {
            http_parser_pause(&parser_, 0);
        }
        const auto code = HTTP_PARSER_ERRNO(&parser_);
        if (complete_) {
            if (in_interim_response()) {
                reset(without_body_);
                continue;
            }
            return {parse_status::complete, consumed};
        }
        if (code != HPE_OK || parser_.upgrade != 0 || lines_.faulty()) {
            const bool too_large = code == HPE_HEADER_OVERFLOW || field_memory_ > max_head_;
            return {too_large ? parse_status::head_too_large : parse_status::malformed, consumed};
        }
        if (!head_complete_ && head_bytes_ + field_memory_ > max_head_) {
            return {parse_status::head_too_large, consumed};
        }
    }
    return {parse_status::need_more, consumed};
}

bool message_parser::finish()
{
    if (!head_complete_ || complete_) {
        return false;
    }
    http_parser_execute(&parser_, &settings(), nullptr, 0);
    return complete_;
}

} // namespace wagtailhatch
