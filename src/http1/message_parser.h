#pragma once

#include "include/http/http_message.h"
#include "src/http1/chunk_lines.h"
#include "src/http1/head_lines.h"

#include <cstddef>
#include <cstdint>
#include <http_parser.h>
#include <optional>
#include <string>
#include <string_view>

namespace wagtailhatch {

/// Start line and headers of a request or response as received.
struct message_head {
    std::string method; ///< Requests only.
    std::string target; ///< Requests only.
    int status = 0;     ///< Responses only.
    http_headers headers;
    std::optional<std::uint64_t> content_length; ///< Bytes.
    bool chunked = false;
    bool keep_alive = true; ///< Whether the connection may carry another message after this one.
    int minor_version = 1;  ///< The x of HTTP/1.x.
};

/// Receives the parts of a message in order, called from message_parser::parse().
class message_events {
public:
    virtual ~message_events() = default;
    virtual void on_head(message_head head) = 0;
    virtual void on_body(std::string_view bytes) = 0;
};

enum class message_role : std::uint8_t { request, response };

enum class parse_status : std::uint8_t {
    need_more,
    complete,       ///< The message is complete; the remaining bytes belong to the next one.
    malformed,      ///< The bytes are not a valid HTTP/1.x message.
    head_too_large, ///< The head exceeds the limit.
};

struct parse_result {
    parse_status status = parse_status::need_more;
    std::size_t consumed = 0; ///< Bytes of this call that belong to the message.
};

/// Incremental HTTP/1.1 parser on top of http-parser. Stops after each complete message, so that its user
/// sees every byte that follows the message. Single-threaded.
class message_parser {
public:
    /// max_head: maximum size of the start line and headers in bytes. For responses it also bounds the memory
    /// that their header fields take, which is many times the size of tiny ones.
    message_parser(message_role role, message_events& events, std::size_t max_head);
    ~message_parser() = default;
    message_parser(const message_parser&) = delete;
    message_parser& operator=(const message_parser&) = delete;

    /// Parses at most to the end of the current message. After parse_status::complete, call reset() before
    /// the next message.
    parse_result parse(std::string_view bytes);

    /// Reports that the peer closed its side. Returns whether this completes a response without a length.
    bool finish();

    /// Prepares for the next message. without_body: it is a response to HEAD.
    void reset(bool without_body = false);

    /// Whether any byte of the current message has been read.
    bool started() const { return head_bytes_ > 0; }
    bool head_complete() const { return head_complete_; }

    /// Whether the current message is a response without a length, whose body ends with the connection.
    bool ends_with_connection() const { return ends_with_connection_; }
    void set_max_head(std::size_t bytes) { max_head_ = bytes; }

private:
    static message_parser& self(http_parser* p) { return *static_cast<message_parser*>(p->data); }
    static const http_parser_settings& settings();
    void end_header();
    int finish_head();
    /// Passes the bytes to http-parser; returns how many of them it has read.
    std::size_t execute(std::string_view bytes);
    /// A part of a chunked body is complete; called by http-parser.
    void end_chunk_part(chunk_part next);
    /// Whether the line ends are sound in these bytes of a chunked body, which http-parser has read.
    bool valid_chunks(std::string_view bytes);
    bool in_interim_response() const;
    /// Keeps the begin of a response's status line: http-parser accepts any number as the status.
    void keep_status_line(std::string_view bytes);

    message_role role_;
    message_events& events_;
    std::size_t max_head_;
    http_parser parser_{};
    message_head head_;
    std::string field_;
    std::string value_;
    head_lines lines_;
    std::optional<chunk_lines> chunks_;   ///< Of a body in chunked transfer coding.
    std::optional<chunk_part> next_part_; ///< Set once the current part of such a body is complete.
    std::string status_line_;             ///< Begin of the response, without empty lines in front of it.
    std::size_t head_bytes_ = 0;
    std::size_t field_memory_ = 0; ///< Of the header fields of a response, besides their text.
    bool in_value_ = false;
    bool head_complete_ = false;
    bool ends_with_connection_ = false;
    bool complete_ = false;
    bool without_body_ = false;
};

} // namespace wagtailhatch
