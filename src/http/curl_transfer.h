#pragma once

#include "include/http/http_client.h"

#include <curl/curl.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace wagtailhatch {

struct easy_deleter {
    void operator()(CURL* easy) const { curl_easy_cleanup(easy); }
};
using easy_handle = std::unique_ptr<CURL, easy_deleter>;

/// libcurl callbacks that open and close the sockets of a transfer.
struct socket_functions {
    curl_opensocket_callback open = nullptr;
    curl_closesocket_callback close = nullptr;
    void* context = nullptr;
};

/// One request and the part of its response received so far; wraps a libcurl easy handle.
class curl_transfer {
public:
    curl_transfer(std::uint64_t id, http_call call, http_client::completion done, std::size_t max_response);
    ~curl_transfer();
    curl_transfer(const curl_transfer&) = delete;
    curl_transfer& operator=(const curl_transfer&) = delete;

    /// Configures the easy handle. Fails with errc::invalid_argument if the request is not valid HTTP/1.1,
    /// and with errc::unavailable if memory is exhausted.
    result<bool> prepare(easy_handle easy, const socket_functions& sockets);

    /// Result of the transfer, after libcurl has reported its end.
    http_result finish(CURLcode code);
    http_result failed(errc code, const std::string& reason) const;

    /// Resets the easy handle and returns it for reuse by another transfer.
    easy_handle release();

    std::uint64_t id() const { return id_; }
    CURL* easy() const { return easy_.get(); }
    http_client::completion take_completion() { return std::move(done_); }

private:
    enum class response_line : std::uint8_t { status, field, trailer };

    void set_method();
    result<bool> set_headers();
    void set_connection(const socket_functions& sockets);
    bool may_retry() const;
    bool add_header(const std::string& line);
    bool response_is_complete(std::string& why) const;
    bool on_header(const char* data, std::size_t size);
    int status() const;
    bool on_field_line(std::string_view line);
    bool on_field(const std::string& name, const std::string& value);

    static std::size_t header_function(char* data, std::size_t size, std::size_t count, void* self);
    static std::size_t body_function(char* data, std::size_t size, std::size_t count, void* self);
    static int before_request(void* self, char*, char*, int, int);

    std::uint64_t id_;
    http_call call_;
    http_client::completion done_;
    std::size_t max_response_;
    easy_handle easy_;
    curl_slist* headers_ = nullptr;
    http_response response_;
    std::size_t header_bytes_ = 0;
    int times_sent_ = 0;
    int content_lengths_ = 0;
    response_line next_line_ = response_line::status;
    bool chunked_ = false;
    bool too_large_ = false;
    std::string protocol_error_; ///< First protocol violation in the response.
};

} // namespace wagtailhatch
