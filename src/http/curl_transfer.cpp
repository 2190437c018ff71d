#include "src/http/curl_transfer.h"

#include "include/http/http_status.h"
#include "src/http/header_rules.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <string_view>
#include <utility>

namespace wagtailhatch {
namespace {

/// Total size of the header lines of a response.
constexpr std::size_t max_response_headers = std::size_t{128} << 10;

/// A request on a connection that the server closes at the same time has an unknown outcome, so connections
/// are dropped before servers usually close idle ones, after some seconds. The server of this library keeps
/// them for 10 s.
constexpr long max_idle_seconds = 5;

constexpr long read_buffer_size = 64L << 10;

bool is_request_target(std::string_view text)
{
    return !text.empty() && text.front() == '/' &&
           std::all_of(text.begin(), text.end(), [](unsigned char c) { return c > 0x20 && c != 0x7f; });
}

errc to_errc(CURLcode code)
{
    switch (code) {
    case CURLE_COULDNT_CONNECT:
        return errc::unavailable;
    case CURLE_OPERATION_TIMEDOUT:
        return errc::timeout;
    case CURLE_PARTIAL_FILE:
        return errc::truncated;
    case CURLE_FILESIZE_EXCEEDED:
        return errc::too_large;
    case CURLE_WEIRD_SERVER_REPLY:
    case CURLE_UNSUPPORTED_PROTOCOL:
    case CURLE_BAD_CONTENT_ENCODING:
        return errc::malformed;
    case CURLE_URL_MALFORMAT:
        return errc::invalid_argument;
    default:
        return errc::connection_lost;
    }
}

template <typename Value>
void set(CURL* easy, CURLoption option, Value value)
{
    curl_easy_setopt(easy, option, value);
}

} // namespace

curl_transfer::curl_transfer(std::uint64_t id, http_call call, http_client::completion done,
                             std::size_t max_response)
    : id_{id}
    , call_{std::move(call)}
    , done_{std::move(done)}
    , max_response_{max_response}
{
}

curl_transfer::~curl_transfer()
{
    easy_.reset();
    curl_slist_free_all(headers_);
}

bool curl_transfer::may_retry() const
{
    return !call_.no_retry && (call_.request.method == "GET" || call_.request.method == "HEAD");
}

result<bool> curl_transfer::prepare(easy_handle easy, const socket_functions& sockets)
{
    if (easy == nullptr) {
        return make_error(errc::unavailable, "no memory for a transfer");
    }
    if (!is_token(call_.request.method) || !is_request_target(call_.request.target)) {
        return make_error(errc::invalid_argument, "invalid method or request target");
    }
    easy_ = std::move(easy);
    auto* e = easy_.get();
    const auto url = "http://" + call_.address + "/";
    set(e, CURLOPT_URL, url.c_str());
    set(e, CURLOPT_REQUEST_TARGET, call_.request.target.c_str());
    set(e, CURLOPT_PRIVATE, static_cast<void*>(this));
    set(e, CURLOPT_HEADERFUNCTION, &curl_transfer::header_function);
    set(e, CURLOPT_HEADERDATA, static_cast<void*>(this));
    set(e, CURLOPT_WRITEFUNCTION, &curl_transfer::body_function);
    set(e, CURLOPT_WRITEDATA, static_cast<void*>(this));
    set(e, CURLOPT_PREREQFUNCTION, &curl_transfer::before_request);
    set(e, CURLOPT_PREREQDATA, static_cast<void*>(this));
    set(e, CURLOPT_MAXFILESIZE_LARGE, static_cast<curl_off_t>(max_response_));
    const auto ms = std::chrono::ceil<std::chrono::milliseconds>(call_.timeout).count();
    set(e, CURLOPT_TIMEOUT_MS, static_cast<long>(std::max<decltype(ms)>(ms, 1)));
    set_method();
    set_connection(sockets);
    return set_headers();
}

void curl_transfer::set_method()
{
    auto* e = easy_.get();
    const auto& request = call_.request;
    const bool sends_length =
        request.method == "POST" || request.method == "PUT" || request.method == "PATCH";
    if (request.method == "HEAD") {
        set(e, CURLOPT_NOBODY, 1L);
    }
    else if (!request.body.empty() || sends_length) {
        set(e, CURLOPT_POST, 1L);
        set(e, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request.body.size()));
        set(e, CURLOPT_POSTFIELDS, request.body.data());
    }
    else {
        set(e, CURLOPT_HTTPGET, 1L);
    }
    set(e, CURLOPT_CUSTOMREQUEST, request.method.c_str());
}

void curl_transfer::set_connection(const socket_functions& sockets)
{
    auto* e = easy_.get();
    set(e, CURLOPT_OPENSOCKETFUNCTION, sockets.open);
    set(e, CURLOPT_OPENSOCKETDATA, sockets.context);
    set(e, CURLOPT_CLOSESOCKETFUNCTION, sockets.close);
    set(e, CURLOPT_CLOSESOCKETDATA, sockets.context);
    // An empty proxy and "*" disable the proxy settings of the environment.
    set(e, CURLOPT_PROXY, "");
    set(e, CURLOPT_NOPROXY, "*");
    set(e, CURLOPT_PROTOCOLS_STR, "http");
    set(e, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    set(e, CURLOPT_FOLLOWLOCATION, 0L);
    set(e, CURLOPT_NOSIGNAL, 1L);
    set(e, CURLOPT_TCP_NODELAY, 1L);
    set(e, CURLOPT_BUFFERSIZE, read_buffer_size);
    set(e, CURLOPT_MAXAGE_CONN, max_idle_seconds);
    if (call_.no_retry) {
        set(e, CURLOPT_FRESH_CONNECT, 1L);
        set(e, CURLOPT_FORBID_REUSE, 1L);
    }
}

bool curl_transfer::add_header(const std::string& line)
{
    auto* extended = curl_slist_append(headers_, line.c_str());
    if (extended == nullptr) {
        return false;
    }
    headers_ = extended;
    return true;
}

result<bool> curl_transfer::set_headers()
{
    // libcurl adds these by default; a forwarded request must carry only its own headers.
    std::array<std::pair<std::string_view, bool>, 3> defaults{
        {{"accept", false}, {"content-type", false}, {"user-agent", false}}};
    bool added = add_header("Expect:");
    for (const auto& header : call_.request.headers) {
        if (!is_token(header.name) || !is_field_value(header.value)) {
            return make_error(errc::invalid_argument, "invalid request header");
        }
        const auto name = to_lower(header.name);
        if (is_hop_by_hop_header(name)) {
            continue;
        }
        for (auto& [known, present] : defaults) {
            present = present || known == name;
        }
        // libcurl sends an empty value for "name;", whereas "name:" would remove the header.
        const bool blank = trim(header.value).empty();
        added = added && add_header(blank ? header.name + ";" : header.name + ": " + header.value);
    }
    for (const auto& [known, present] : defaults) {
        added = added && (present || add_header(std::string{known} + ":"));
    }
    if (call_.no_retry) {
        added = added && add_header("Connection: close");
    }
    if (!added) {
        return make_error(errc::unavailable, "no memory for a transfer");
    }
    set(easy_.get(), CURLOPT_HTTPHEADER, headers_);
    return true;
}

// Runs each time before libcurl sends the request. libcurl retries a request on a new connection if a reused
// one was closed before the first byte of the response; requests that are not safe must not be retried.
int curl_transfer::before_request(void* self, char*, char*, int, int)
{
    auto& transfer = *static_cast<curl_transfer*>(self);
    if (transfer.times_sent_ > 0 && !transfer.may_retry()) {
        return CURL_PREREQFUNC_ABORT;
    }
    ++transfer.times_sent_;
    return CURL_PREREQFUNC_OK;
}

std::size_t curl_transfer::header_function(char* data, std::size_t size, std::size_t count, void* self)
{
    const auto bytes = size * count;
    return static_cast<curl_transfer*>(self)->on_header(data, bytes) ? bytes : 0;
}

bool curl_transfer::on_header(const char* data, std::size_t size)
{
    header_bytes_ += size;
    if (header_bytes_ > max_response_headers) {
        too_large_ = true;
        return false;
    }
    const std::string_view line{data, size};
    switch (next_line_) {
    case response_line::status:
        response_.headers.clear();
        content_lengths_ = 0;
        chunked_ = false;
        next_line_ = response_line::field;
        return true;
    case response_line::field:
        if (line == "\r\n" || line == "\n") {
            // An interim response (1xx) precedes the final one.
            next_line_ = http_status::is_interim(status()) ? response_line::status : response_line::trailer;
            return true;
        }
        return on_field_line(line);
    case response_line::trailer:
        break; // Dropped.
    }
    return true;
}

int curl_transfer::status() const
{
    long status = 0;
    curl_easy_getinfo(easy_.get(), CURLINFO_RESPONSE_CODE, &status);
    return static_cast<int>(status);
}

bool curl_transfer::on_field_line(std::string_view line)
{
    // libcurl passes on lines that it can't make sense of, and ignores names with a blank that frame the
    // body.
    const auto colon = std::min(line.find(':'), line.size());
    const auto name = line.substr(0, colon);
    if (colon == line.size() || !is_token(name)) {
        protocol_error_ = "malformed header field";
        return false;
    }
    return on_field(std::string{name}, std::string{trim(line.substr(colon + 1))});
}

bool curl_transfer::on_field(const std::string& name, const std::string& value)
{
    const auto key = to_lower(name);
    if (key == "content-length") {
        ++content_lengths_;
        if (value.empty() || value.find_first_not_of("0123456789") != std::string::npos) {
            protocol_error_ = "malformed Content-Length";
        }
    }
    else if (key == "transfer-encoding") {
        if (!is_chunked_coding(value) || chunked_) {
            protocol_error_ = "unsupported transfer coding";
        }
        chunked_ = true;
    }
    else if (!is_hop_by_hop_header(key)) {
        response_.headers.push_back(http_header{name, value});
    }
    if (content_lengths_ + (chunked_ ? 1 : 0) > 1) {
        protocol_error_ = "ambiguous body length";
    }
    return protocol_error_.empty();
}

std::size_t curl_transfer::body_function(char* data, std::size_t size, std::size_t count, void* self)
{
    auto& transfer = *static_cast<curl_transfer*>(self);
    const auto bytes = size * count;
    if (bytes > transfer.max_response_ - transfer.response_.body.size()) {
        transfer.too_large_ = true;
        return 0;
    }
    transfer.response_.body.append(data, bytes);
    return bytes;
}

bool curl_transfer::response_is_complete(std::string& why) const
{
    const int status = response_.status;
    if (!http_status::is_final(status)) {
        why = "invalid final status " + std::to_string(status);
        return false;
    }
    const bool bodyless = status == 204 || status == 304 || call_.request.method == "HEAD";
    if (!bodyless && content_lengths_ == 0 && !chunked_) {
        // The body ends with the connection, so a truncated body would look complete.
        why = "response has no body length";
        return false;
    }
    return true;
}

http_result curl_transfer::failed(errc code, const std::string& reason) const
{
    http_result out;
    out.reason = make_error(code, call_.address + ": " + reason);
    out.sent = times_sent_ == 0 ? delivery::not_sent : delivery::maybe_sent;
    return out;
}

http_result curl_transfer::finish(CURLcode code)
{
    if (too_large_ || code == CURLE_FILESIZE_EXCEEDED) {
        return failed(errc::too_large, "response exceeds the size limit");
    }
    if (!protocol_error_.empty()) {
        return failed(errc::malformed, protocol_error_);
    }
    if (code != CURLE_OK) {
        return failed(to_errc(code), curl_easy_strerror(code));
    }
    response_.status = status();
    std::string why;
    if (!response_is_complete(why)) {
        return failed(errc::truncated, why);
    }
    http_result out;
    out.ok = true;
    out.response = std::move(response_);
    return out;
}

easy_handle curl_transfer::release()
{
    if (easy_ != nullptr) {
        curl_easy_reset(easy_.get());
    }
    return std::move(easy_);
}

} // namespace wagtailhatch
