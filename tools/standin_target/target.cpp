#include "tools/standin_target/target.h"

#include "tools/standin_common/answer_body.h"
#include "tools/standin_common/timers.h"
#include "tools/standin_common/wire_names.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <unistd.h>
#include <utility>

namespace wagtailhatch::standin {
namespace {

constexpr int crash_status = 70;
constexpr std::chrono::seconds announce_timeout{1};
constexpr std::chrono::milliseconds max_deadline{3'600'000};

steady_time now()
{
    return std::chrono::steady_clock::now();
}

std::uint64_t unix_milliseconds()
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(since).count());
}

std::string header_value(const http_headers& headers, const char* name)
{
    const auto* value = find_header(headers, name);
    return value == nullptr ? std::string{} : *value;
}

} // namespace

target::target(asio::io_context& io, http_client& client, target_settings settings)
    : io_{io}
    , client_{client}
    , settings_{std::move(settings)}
    , ledger_{settings_.forbidden}
    , random_{settings_.seed}
    , start_time_ms_{unix_milliseconds()}
{
}

http_headers target::answer_headers(const std::string& id) const
{
    const auto load = std::to_string(running_) + ",0," + std::to_string(settings_.slots);
    return {{request_id_header, id}, {instance_header, settings_.instance}, {load_header, load}};
}

bool target::serve_builtin_path(http_exchange& exchange)
{
    const auto& path = exchange.request().target;
    if (path == "/healthz") {
        exchange.respond({draining_ ? 503 : 200, answer_headers({}), {}});
        return true;
    }
    if (path == "/ledger") {
        auto report = ledger_.report();
        report["service"] = settings_.service;
        report["in_flight"] = running_;
        exchange.respond({200, {{"Content-Type", "application/json"}}, report.dump()});
        return true;
    }
    return false;
}

bool target::try_reject(http_exchange& exchange)
{
    const auto& headers = exchange.request().headers;
    const auto expected = header_value(headers, expect_instance_header);
    if (!expected.empty() && expected != settings_.instance) {
        exchange.respond({421, answer_headers(request_id(exchange.request())), {}});
        return true;
    }
    if (running_ >= settings_.slots) {
        auto out = answer_headers(request_id(exchange.request()));
        out.push_back({not_executed_header, "1"});
        exchange.respond({503, std::move(out), {}});
        return true;
    }
    return false;
}

void target::handle(const std::shared_ptr<http_exchange>& exchange)
{
    if (serve_builtin_path(*exchange)) {
        return;
    }
    ledger_.received(exchange->request());
    if (try_reject(*exchange)) {
        return;
    }
    auto j = std::make_shared<job>();
    j->exchange = exchange;
    j->id = request_id(exchange->request());
    if (const auto limit = header_value(exchange->request().headers, deadline_header); !limit.empty()) {
        const auto ms = std::strtoll(limit.c_str(), nullptr, 10);
        j->deadline = now() + std::chrono::milliseconds{std::clamp<long long>(ms, 0, max_deadline.count())};
    }
    exchange->on_disconnect([weak = std::weak_ptr<job>{j}] {
        if (const auto locked = weak.lock()) {
            locked->abandoned = true;
        }
    });
    run(j);
}

duration target::next_service_time()
{
    const auto mean = static_cast<double>(settings_.service_time.count());
    if (mean <= 0) {
        return duration::zero();
    }
    const auto us = std::exponential_distribution<double>{1 / mean}(random_);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::micro>{us});
}

void target::run(const job_pointer& j)
{
    const auto& request = j->exchange->request();
    const auto& marker = settings_.crash_marker;
    ledger_.ran(j->id);
    if (!marker.empty() && (request.target.find(marker) != std::string::npos ||
                            request.body.find(marker) != std::string::npos)) {
        ::_exit(crash_status);
    }
    ++running_;
    run_after(io_, next_service_time(), [this, j] { call_next(j); });
}

void target::call_next(const job_pointer& j)
{
    if (j->next_call == settings_.calls.size() || settings_.node_callers.empty()) {
        finish(j, 200);
        return;
    }
    const auto remaining = j->deadline == steady_time::max() ? duration{max_deadline} : j->deadline - now();
    if (remaining <= duration::zero() || j->abandoned) {
        finish(j, 504);
        return;
    }
    const auto& downstream = settings_.calls[j->next_call++];
    http_call call;
    call.address = settings_.node_callers;
    call.request.method = "GET";
    call.request.target = downstream.path;
    const auto remaining_ms = std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count();
    call.request.headers = {{"Host", downstream.host},
                            {request_id_header, j->id + "." + std::to_string(++calls_made_)},
                            {deadline_header, std::to_string(remaining_ms)}};
    call.timeout = remaining;
    client_.start(std::move(call), [this, j](const http_result& result) {
        const bool succeeded = result.ok && result.response.status == 200;
        succeeded ? call_next(j) : finish(j, 500);
    });
}

void target::finish(const job_pointer& j, int status)
{
    const auto body =
        make_answer_body({j->id, settings_.service, "", status == 200 ? settings_.answer_bytes : 0});
    auto headers = answer_headers(j->id);
    headers.push_back({signature_header, settings_.instance + "." + j->id});
    headers.push_back({"Content-Type", "text/plain"});
    j->exchange->respond({status, std::move(headers), body});
    ledger_.answered();
    --running_;
}

void target::announce()
{
    if (settings_.node_control.empty()) {
        return;
    }
    http_call call;
    call.address = settings_.node_control;
    call.request.method = "PUT";
    call.request.target = "/api/instances/" + settings_.instance;
    call.request.headers.push_back({"Content-Type", "application/json"});
    call.request.body = nlohmann::json{
        {"Service", settings_.service},
        {"Address", own_address_},
        {"Zone", settings_.zone},
        {"Version", "v1"},
        {"Slots", settings_.slots},
        {"State", draining_ ? "draining" : "ready"},
        {"ColdLeftS", 0},
        {"Sequence", ++sequence_},
        {"born",
         start_time_ms_}}.dump();
    call.timeout = announce_timeout;
    client_.start(std::move(call), [](const http_result&) {});
}

void target::start_announcing(std::string own_address)
{
    own_address_ = std::move(own_address);
    announce();
    run_after(io_, settings_.announce_interval, [this] { start_announcing(own_address_); });
}

void target::drain(std::function<void()> done)
{
    draining_ = true;
    announce();
    run_after(io_, settings_.drain_time, [this, done = std::move(done)] {
        if (settings_.node_control.empty()) {
            done();
            return;
        }
        http_call call;
        call.address = settings_.node_control;
        call.request.method = "DELETE";
        call.request.target = "/api/instances/" + settings_.instance;
        call.timeout = announce_timeout;
        client_.start(std::move(call), [done](const http_result&) { done(); });
    });
}

} // namespace wagtailhatch::standin
