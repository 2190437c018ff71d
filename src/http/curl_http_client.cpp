#include "include/http/http_client.h"
#include "src/http/curl_event_loop.h"
#include "src/http/curl_transfer.h"

#include <asio/ip/address.hpp>
#include <asio/post.hpp>

#include <charconv>
#include <mutex>
#include <unordered_map>
#include <utility>
#include <vector>

namespace wagtailhatch {
namespace {

constexpr std::size_t max_spare_handles = 256;

/// Host names are not accepted, because resolving them would need another thread.
bool is_ip_and_port(const std::string& address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) {
        return false;
    }
    auto host = address.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    std::error_code ec;
    asio::ip::make_address(host, ec);
    unsigned port = 0;
    const auto* end = address.data() + address.size();
    const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
    return !ec && parsed.ec == std::errc{} && parsed.ptr == end && port > 0 && port <= 65535;
}

class curl_http_client final : public http_client {
public:
    curl_http_client(asio::io_context& io, const http_client_options& options)
        : io_{io}
        , options_{options}
        , loop_{std::make_shared<curl_event_loop>(
              io, [this](CURL* easy, CURLcode code) { return finished(easy, code); })}
    {
        if (loop_->usable()) {
            curl_multi_setopt(loop_->multi(), CURLMOPT_MAX_HOST_CONNECTIONS,
                              static_cast<long>(options.max_connections_per_host));
        }
    }
    ~curl_http_client() override
    {
        for (auto& [id, transfer] : transfers_) {
            curl_multi_remove_handle(loop_->multi(), transfer->easy());
        }
        // Handles must detach from the connections of the multi handle before those are closed.
        transfers_.clear();
        spare_.clear();
        loop_->close();
    }
    curl_http_client(const curl_http_client&) = delete;
    curl_http_client& operator=(const curl_http_client&) = delete;

    bool usable() const { return loop_->usable(); }
    call_id start(http_call call, completion done) override;
    void cancel(call_id id) override;

private:
    std::function<void()> finished(CURL* easy, CURLcode code);
    std::unique_ptr<curl_transfer> remove(call_id id);
    void complete_later(curl_transfer& transfer, http_result result);
    easy_handle take_handle();

    asio::io_context& io_;
    http_client_options options_;
    std::shared_ptr<curl_event_loop> loop_;
    std::unordered_map<call_id, std::unique_ptr<curl_transfer>> transfers_;
    std::vector<easy_handle> spare_;
    call_id last_id_ = 0;
};

http_client::call_id curl_http_client::start(http_call call, completion done)
{
    const auto id = ++last_id_;
    const bool address_valid = is_ip_and_port(call.address);
    const auto max_response = call.max_response > 0 ? call.max_response : options_.max_response;
    auto transfer = std::make_unique<curl_transfer>(id, std::move(call), std::move(done), max_response);
    if (!address_valid) {
        complete_later(*transfer,
                       transfer->failed(errc::invalid_argument, "address is not an IP address and port"));
        return id;
    }
    const auto prepared = transfer->prepare(take_handle(), loop_->sockets());
    if (!prepared) {
        auto result = transfer->failed(errc::invalid_argument, prepared.failure().detail);
        result.reason.code = prepared.failure().code;
        complete_later(*transfer, std::move(result));
        return id;
    }
    auto* easy = transfer->easy();
    transfers_[id] = std::move(transfer);
    if (curl_multi_add_handle(loop_->multi(), easy) != CURLM_OK) {
        const auto refused = std::move(transfers_.extract(id).mapped());
        complete_later(*refused, refused->failed(errc::unavailable, "libcurl rejected the transfer"));
    }
    return id;
}

void curl_http_client::cancel(call_id id)
{
    const auto transfer = remove(id);
    if (transfer != nullptr) {
        complete_later(*transfer, transfer->failed(errc::cancelled, "cancelled"));
    }
}

void curl_http_client::complete_later(curl_transfer& transfer, http_result result)
{
    asio::post(io_, [done = transfer.take_completion(), result = std::move(result)]() mutable {
        done(std::move(result));
    });
}

// Removing an unfinished transfer closes its connection.
std::unique_ptr<curl_transfer> curl_http_client::remove(call_id id)
{
    auto node = transfers_.extract(id);
    if (node.empty()) {
        return nullptr;
    }
    auto transfer = std::move(node.mapped());
    curl_multi_remove_handle(loop_->multi(), transfer->easy());
    return transfer;
}

std::function<void()> curl_http_client::finished(CURL* easy, CURLcode code)
{
    curl_transfer* transfer = nullptr;
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, &transfer);
    const auto ended = remove(transfer->id());
    auto result = ended->finish(code);
    if (spare_.size() < max_spare_handles) {
        spare_.push_back(ended->release());
    }
    return
        [done = ended->take_completion(), result = std::move(result)]() mutable { done(std::move(result)); };
}

easy_handle curl_http_client::take_handle()
{
    if (spare_.empty()) {
        return easy_handle{curl_easy_init()};
    }
    auto out = std::move(spare_.back());
    spare_.pop_back();
    return out;
}

} // namespace

result<std::unique_ptr<http_client>> make_http_client(asio::io_context& io,
                                                      const http_client_options& options)
{
    static std::once_flag initialised;
    std::call_once(initialised, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
    auto client = std::make_unique<curl_http_client>(io, options);
    if (!client->usable()) {
        return make_error(errc::unavailable, "cannot create a libcurl multi handle");
    }
    return std::unique_ptr<http_client>{std::move(client)};
}

} // namespace wagtailhatch
