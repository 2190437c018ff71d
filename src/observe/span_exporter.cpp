#include "include/observe/span_exporter.h"

#include "include/http/http_client.h"
#include "include/http/http_status.h"

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
    void schedule_export(std::chrono::milliseconds time);
    void export_batch();
    void on_export_done(std::size_t count, bool accepted);

    http_client& client;
    span_exporter_options options;
    asio::steady_timer timer;
    std::deque<span> queue;
    std::uint64_t exported = 0;
    std::uint64_t dropped = 0;
    bool export_in_flight = false;
    bool export_scheduled = false;
    bool destroyed = false;
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
    if (!export_in_flight && !export_scheduled) {
        schedule_export(options.interval);
    }
    else if (!export_in_flight && queue.size() == options.max_batch) {
        schedule_export(std::chrono::milliseconds{0});
    }
}

void span_exporter::state::schedule_export(std::chrono::milliseconds time)
{
    export_scheduled = true;
    timer.expires_after(time);
    timer.async_wait([weak = weak_from_this()](std::error_code ec) {
        const auto self = weak.lock();
        if (!ec && self != nullptr) {
            self->export_scheduled = false;
            self->export_batch();
        }
    });
}

void span_exporter::state::export_batch()
{
    if (destroyed || export_in_flight || queue.empty()) {
        return;
    }
    const auto count = std::min(queue.size(), options.max_batch);
    const auto end = queue.begin() + static_cast<std::ptrdiff_t>(count);
    const std::vector<span> batch{std::make_move_iterator(queue.begin()), std::make_move_iterator(end)};
    queue.erase(queue.begin(), end);
    export_in_flight = true;
    http_call call;
    call.address = options.endpoint;
    call.request.method = "POST";
    call.request.target = options.path;
    call.request.headers.push_back(http_header{"Content-Type", "application/json"});
    call.request.body = otlp_json(batch, options);
    call.timeout = options.timeout;
    client.start(std::move(call), [self = shared_from_this(), count](const http_result& result) {
        const bool accepted = result.ok && http_status::is_success(result.response.status);
        self->on_export_done(count, accepted);
    });
}

void span_exporter::state::on_export_done(std::size_t count, bool accepted)
{
    export_in_flight = false;
    (accepted ? exported : dropped) += count;
    if (!destroyed && !queue.empty() && !export_scheduled) {
        const bool full = queue.size() >= options.max_batch;
        schedule_export(full ? std::chrono::milliseconds{0} : options.interval);
    }
}

span_exporter::span_exporter(asio::io_context& io, http_client& client, span_exporter_options options)
    : state_{std::make_shared<state>(io, client, std::move(options))}
{
}

span_exporter::~span_exporter()
{
    state_->destroyed = true;
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
