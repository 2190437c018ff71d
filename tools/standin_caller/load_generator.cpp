#include "tools/standin_caller/load_generator.h"

#include "include/http/http_status.h"
#include "tools/standin_common/answer_body.h"
#include "tools/standin_common/timers.h"
#include "tools/standin_common/wire_names.h"

#include <chrono>
#include <utility>
#include <vector>

namespace wagtailhatch::standin {
namespace {

/// The HTTP client's timeout exceeds the request's deadline by this margin, so that a timeout response sent
/// by the node still arrives.
constexpr std::chrono::milliseconds response_margin{1000};

std::vector<double> weights(const load_settings& settings)
{
    std::vector<double> out;
    for (const auto& path : settings.paths) {
        out.push_back(path.weight);
    }
    return out;
}

} // namespace

load_generator::load_generator(asio::io_context& io, http_client& client, load_settings settings)
    : io_{io}
    , client_{client}
    , settings_{std::move(settings)}
    , random_{settings_.seed}
    , request_timer_{io}
{
    const auto w = weights(settings_);
    path_distribution_ = std::discrete_distribution<std::size_t>{w.begin(), w.end()};
}

void load_generator::start(std::function<void()> done)
{
    done_ = std::move(done);
    first_due_ = std::chrono::steady_clock::now();
    schedule_next();
}

void load_generator::schedule_next()
{
    if (started_ == settings_.requests) {
        return;
    }
    const std::chrono::duration<double> offset{static_cast<double>(started_) / settings_.rate};
    request_timer_.expires_at(first_due_ + std::chrono::duration_cast<duration>(offset));
    request_timer_.async_wait([this](std::error_code ec) {
        if (!ec) {
            begin();
            schedule_next();
        }
    });
}

void load_generator::begin()
{
    auto r = std::make_shared<request>();
    r->id = settings_.id_prefix + "-" + std::to_string(started_++);
    r->path = &settings_.paths[path_distribution_(random_)];
    if (!settings_.keys.empty()) {
        r->key = &settings_.keys[random_() % settings_.keys.size()];
    }
    r->due = request_timer_.expiry();
    attempt(r);
}

std::size_t load_generator::choose_node(const request& r)
{
    const auto nodes = settings_.nodes.size();
    if (r.attempts <= 1 || nodes == 1) {
        return random_() % nodes;
    }
    // Retries go to a different node, as a load balancer does when a node is no longer ready.
    return (r.node + 1 + random_() % (nodes - 1)) % nodes;
}

http_call load_generator::make_call(request& r)
{
    http_call call;
    r.node = choose_node(r);
    call.address = settings_.nodes[r.node];
    call.timeout = settings_.timeout + response_margin;
    auto& out = call.request;
    out.method = r.path->method;
    out.target = r.path->path;
    out.headers.push_back({"Host", r.path->host});
    out.headers.push_back({request_id_header, r.attempt_id});
    out.headers.push_back({deadline_header, std::to_string(settings_.timeout.count())});
    if (r.key != nullptr) {
        out.headers.push_back({"Authorization", "Bearer " + r.key->key});
    }
    if (out.method != "GET" && out.method != "HEAD") {
        out.body = r.attempt_id + " " + settings_.body_marker;
        out.body.resize(std::max(out.body.size(), settings_.body_bytes), 'b');
    }
    return call;
}

void load_generator::attempt(const request_pointer& r)
{
    r->attempt_id = r->id + "a" + std::to_string(r->attempts++);
    auto call = make_call(*r);
    client_.start(std::move(call), [this, r](const http_result& answer) { on_completed(r, answer); });
}

load_generator::attempt_result load_generator::classify_response(const request& r,
                                                                 const http_result& answer) const
{
    if (!answer.ok) {
        const bool not_sent = answer.sent == delivery::not_sent;
        return {not_sent ? request_outcome::not_run : request_outcome::unknown,
                (not_sent ? "not sent: " : "no answer: ") + answer.reason.code.message(),
                not_sent || r.path->idempotent};
    }
    const auto& response = answer.response;
    const bool from_target = find_header(response.headers, signature_header) != nullptr;
    const auto status = std::to_string(response.status);
    if (http_status::is_success(response.status)) {
        const bool whole = from_target && is_valid_answer(response.body, r.attempt_id);
        return {whole ? request_outcome::whole : request_outcome::wrong, status, false};
    }
    // Sent by a node, these statuses guarantee that the request was not executed and will not be.
    const bool not_run = !from_target && (response.status == 429 || response.status == 503 ||
                                          response.status == 408 || response.status == 421);
    if (not_run) {
        return {request_outcome::not_run, status, true};
    }
    return {from_target ? request_outcome::failed : request_outcome::unknown, status,
            response.status >= 500 && r.path->idempotent};
}

void load_generator::on_completed(const request_pointer& r, const http_result& answer)
{
    result_.on_attempt(answer.ok ? std::to_string(answer.response.status) : answer.reason.code.message());
    const auto v = classify_response(*r, answer);
    if (v.retry && r->attempts <= settings_.retries) {
        run_after(io_, settings_.retry_delay, [this, r] { attempt(r); });
        return;
    }
    const auto latency = std::chrono::steady_clock::now() - r->due;
    result_.on_completed(v.outcome, r->path->method + ":" + r->path->host + r->path->path,
                         r->key == nullptr ? "" : r->key->workspace, v.reason,
                         std::chrono::duration_cast<std::chrono::microseconds>(latency));
    if (++finished_ == settings_.requests) {
        done_();
    }
}

} // namespace wagtailhatch::standin
