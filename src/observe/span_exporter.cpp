#include "include/observe/span_exporter.h"

#include "include/http/http_client.h"

#include <algorithm>
#include <iterator>

namespace wagtailhatch {

/// Shared with the pending timer and the export request, which may complete after the exporter is destroyed.
struct span_exporter::state : std::enable_shared_from_this<span_exporter::state> {
    state(asio::io_context& io, http_client& c, span_exporter_options o)
        : client{c}
        , options{std::move(o)}
        , timer{io}
    {
    }

    void record(span s);
    void wait(std::chrono::milliseconds time);
    void send();
    void sent(std::size_t count, bool taken);

    http_client& client;
    span_exporter_options options;
    asio::steady_timer timer;
    std::deque<span> queue;
    std::uint64_t exported = 0;
    std::uint64_t dropped = 0;
    bool sending = false;
    bool waiting = false;
    bool ended = false;
};

void span_exporter::state::record(span s)
{
    if (!s.context.sampled || options.endpoint.empty()) {
        return;
    }
    if (queue.size() >= options.max_queue) {
        ++dropped;
        return;
    }
    queue.push_back(std::move(s));
    if (!sending && !waiting) {
        wait(options.interval);
    }
    else if (!sending && queue.size() == options.max_batch) {
        wait(std::chrono::milliseconds{0});
    }
}

void span_exporter::state::wait(std::chrono::milliseconds time)
{
    waiting = true;
    timer.expires_after(time);
    timer.async_wait([weak = weak_from_this()](std::error_code ec) {
        const auto self = weak.lock();
        if (!ec && self != nullptr) {
            self->waiting = false;
            self->send();
        }
    });
}

void span_exporter::state::send()
{
    if (ended || sending || queue.empty()) {
        return;
    }
    const auto count = std::min(queue.size(), options.max_batch);
    const auto end = queue.begin() + static_cast<std::ptrdiff_t>(count);
    const std::vector<span> batch{std::make_move_iterator(queue.begin()), std::make_move_iterator(end)};
    queue.erase(queue.begin(), end);
    sending = true;
    http_call call;
    call.address = options.endpoint;
    call.request.method = "POST";
    call.request.target = options.path;
    call.request.headers.push_back(http_header{"Content-Type", "application/json"});
    call.request.body = otlp_json(batch, options);
    call.timeout = options.timeout;
    client.start(std::move(call), [self = shared_from_this(), count](const http_result& result) {
        const bool taken = result.ok && result.response.status >= 200 && result.response.status < 300;
        self->sent(count, taken);
    });
}

void span_exporter::state::sent(std::size_t count, bool taken)
{
    sending = false;
    (taken ? exported : dropped) += count;
    if (!ended && !queue.empty() && !waiting) {
        const bool full = queue.size() >= options.max_batch;
        wait(full ? std::chrono::milliseconds{0} : options.interval);
    }
}

span_exporter::span_exporter(asio::io_context& io, http_client& client, span_exporter_options options)
    : state_{std::make_shared<state>(io, client, std::move(options))}
{
}

span_exporter::~span_exporter()
{
    state_->ended = true;
    state_->timer.cancel();
}

void span_exporter::record(span s)
{
    state_->record(std::move(s));
}

std::size_t span_exporter::queued() const
{
    return state_->queue.size();
}

std::uint64_t span_exporter::exported() const
{
    return state_->exported;
}

std::uint64_t span_exporter::dropped() const
{
    return state_->dropped;
}

} // namespace wagtailhatch
