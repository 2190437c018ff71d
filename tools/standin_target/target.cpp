#include "tools/standin_target/target.h"

#include "tools/standin_common/answer_body.h"
#include "tools/standin_common/timers.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdlib>
#include <unistd.h>
#include <utility>

namespace wagtailhatch::standin {
namespace {

constexpr std::size_t max_waiting = 20'000;

/// Senders need a moment to learn that the target leaves; requests of that moment are still served.
constexpr std::chrono::milliseconds min_drain{1000};
constexpr std::chrono::seconds max_drain{10};
constexpr std::chrono::milliseconds drain_check{20};

constexpr std::chrono::seconds default_call_timeout{10};
constexpr int crash_status = 70;

steady_time now()
{
    return std::chrono::steady_clock::now();
}

std::string query_of(const std::string& target)
{
    const auto at = target.find('?');
    return at == std::string::npos ? std::string{} : target.substr(at);
}

http_response json_response(int status, const nlohmann::json& json)
{
    return http_response{status, {{"Content-Type", "application/json"}}, json.dump()};
}

/// Status that a target answers when a call that it needs ended so; 0 if the call succeeded.
int status_after(const http_result& call)
{
    if (!call.ok) {
        return call.sent == delivery::not_sent ? 503 : 502;
    }
    const auto* outcome = find_header(call.response.headers, "wh-outcome");
    if (outcome != nullptr && *outcome == "not-run") {
        return 503;
    }
    return call.response.status >= 200 && call.response.status < 300 ? 0 : 502;
}

} // namespace

target::target(asio::io_context& io, http_client& client, target_settings settings)
    : io_{io}
    , client_{client}
    , settings_{std::move(settings)}
    , ledger_{settings_.forbidden}
    , load_{settings_.lie, settings_.load_lag}
    , random_{settings_.seed}
    , started_{now()}
{
}

bool target::answer_own(http_exchange& exchange)
{
    const auto& path = exchange.request().target;
    if (path == "/health") {
        exchange.respond(json_response(draining_ ? 503 : 200, {{"state", draining_ ? "draining" : "ready"}}));
    }
    else if (path == "/load") {
        exchange.respond(json_response(200, {{"in_flight", load_.value(now())}, {"slots", settings_.slots}}));
    }
    else if (path == "/ledger") {
        auto report = ledger_.report();
        report["service"] = settings_.service;
        report["in_flight"] = running_;
        report["waiting"] = waiting_.size();
        exchange.respond(json_response(200, report));
    }
    else {
        return false;
    }
    return true;
}

void target::handle(const std::shared_ptr<http_exchange>& exchange)
{
    if (answer_own(*exchange)) {
        return;
    }
    const auto& request = exchange->request();
    ledger_.received(request);
    if (waiting_.size() >= max_waiting) {
        exchange->respond(http_response{503, {}, {}});
        return;
    }
    auto j = std::make_shared<job>();
    j->exchange = exchange;
    j->received = now();
    j->order = order_id(request);
    if (const auto* timeout = find_header(request.headers, "wh-timeout-ms")) {
        const auto ms = std::strtoll(timeout->c_str(), nullptr, 10);
        j->deadline = j->received + std::chrono::milliseconds{std::clamp<long long>(ms, 0, 3'600'000)};
    }
    exchange->on_disconnect([weak = std::weak_ptr<job>{j}] {
        if (const auto gone = weak.lock()) {
            gone->abandoned = true;
        }
    });
    waiting_.push_back(std::move(j));
    start_waiting();
}

void target::start_waiting()
{
    while (running_ < settings_.slots && !waiting_.empty()) {
        const auto j = std::move(waiting_.front());
        waiting_.pop_front();
        if (j->abandoned) {
            ledger_.abandoned();
        }
        else if (now() >= j->deadline) {
            ledger_.expired();
            j->exchange->respond(http_response{504, {}, {}});
        }
        else {
            run(j);
        }
    }
}

duration target::next_service_time()
{
    const auto mean = static_cast<double>(settings_.service_time.count());
    if (mean <= 0) {
        return duration::zero();
    }
    const double cold = now() - started_ < settings_.cold_time ? settings_.cold_factor : 1;
    const auto us = std::exponential_distribution<double>{1 / (mean * cold)}(random_);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::micro>{us});
}

void target::run(const job_pointer& j)
{
    const auto& request = j->exchange->request();
    const auto& marker = settings_.crash_marker;
    if (!marker.empty() && (request.target.find(marker) != std::string::npos ||
                            request.body.find(marker) != std::string::npos)) {
        ::_exit(crash_status);
    }
    ledger_.ran(j->order);
    load_.changed(++running_, now());
    run_after(io_, next_service_time(), [this, j] { call_next(j); });
}

http_request target::downstream_request(const job& j) const
{
    const auto& from = j.exchange->request();
    const auto& call = settings_.calls[j.next_call];
    http_request out;
    out.method = call.method.empty() ? (from.method == "POST" ? "POST" : "GET") : call.method;
    out.target = call.path + query_of(from.target);
    if (out.method == "POST") {
        out.body = from.body;
    }
    constexpr std::array<const char*, 5> passed_on{"wh-call-handle", "traceparent", "x-request-id",
                                                   "Idempotency-Key", "Content-Type"};
    for (const auto* name : passed_on) {
        if (const auto* value = find_header(from.headers, name)) {
            out.headers.push_back(http_header{name, *value});
        }
    }
    return out;
}

void target::call_next(const job_pointer& j)
{
    if (j->next_call == settings_.calls.size() || settings_.node.empty()) {
        finish(j, 200);
        return;
    }
    const auto left =
        j->deadline == steady_time::max() ? duration{default_call_timeout} : j->deadline - now();
    if (left <= duration::zero() || j->abandoned) {
        finish(j, 504);
        return;
    }
    http_call call;
    call.address = settings_.node;
    call.request = downstream_request(*j);
    call.timeout = left;
    client_.start(std::move(call), [this, j](const http_result& result) { on_call_ended(j, result); });
}

void target::on_call_ended(const job_pointer& j, const http_result& result)
{
    const auto& call = settings_.calls[j->next_call++];
    j->calls += (j->calls.empty() ? "" : " ") + call.path + "=" +
                (result.ok ? std::to_string(result.response.status) : std::string{"failed"});
    const int status = status_after(result);
    if (status == 0) {
        call_next(j);
        return;
    }
    finish(j, status);
}

void target::finish(const job_pointer& j, int status)
{
    const auto* id = find_header(j->exchange->request().headers, "x-request-id");
    const auto body = make_answer_body(
        {id == nullptr ? "" : *id, settings_.service, j->calls, status == 200 ? settings_.answer_bytes : 0});
    j->exchange->respond(http_response{status, {{"Content-Type", "text/plain"}}, body});
    ledger_.answered();
    load_.changed(--running_, now());
    start_waiting();
}

void target::announce()
{
    if (settings_.node.empty()) {
        return;
    }
    http_call call;
    call.address = settings_.node;
    call.request.method = "POST";
    call.request.target = "/wh/v1/announce";
    call.request.headers.push_back(http_header{"Content-Type", "application/json"});
    call.request.body = nlohmann::json{
        {"service", settings_.service},
        {"address", own_address_},
        {"state", draining_ ? "draining" : "ready"},
        {"slots",
         settings_.slots}}.dump();
    call.timeout = std::chrono::seconds{1};
    client_.start(std::move(call), [](const http_result&) {});
}

void target::start_announcing(std::string own_address)
{
    own_address_ = std::move(own_address);
    announce();
    run_after(io_, std::chrono::seconds{1}, [this] { start_announcing(own_address_); });
}

void target::drain(std::function<void()> done)
{
    if (!draining_) {
        draining_ = true;
        drain_until_ = now() + min_drain;
        announce();
    }
    const auto over = now() - drain_until_;
    if (over > max_drain || (over >= duration::zero() && idle())) {
        done();
        return;
    }
    run_after(io_, drain_check, [this, done = std::move(done)] { drain(done); });
}

} // namespace wagtailhatch::standin
