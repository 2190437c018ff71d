#include "tools/standin_caller/load_generator.h"

#include "tools/standin_common/answer_body.h"
#include "tools/standin_common/timers.h"

#include <chrono>
#include <utility>
#include <vector>

namespace wagtailhatch::standin {
namespace {

/// The caller waits longer than it allows the system, so that the system's own answer counts.
constexpr std::chrono::milliseconds patience{1000};

std::vector<double> weights(const load_settings& settings)
{
    std::vector<double> out;
    for (const auto& path : settings.paths) {
        out.push_back(path.weight);
    }
    return out;
}

std::string value_or_empty(const http_headers& headers, const char* name)
{
    const auto* value = find_header(headers, name);
    return value == nullptr ? std::string{} : *value;
}

} // namespace

load_generator::load_generator(asio::io_context& io, http_client& client, load_settings settings)
    : io_{io}
    , client_{client}
    , settings_{std::move(settings)}
    , random_{settings_.seed}
    , next_{io}
{
    const auto w = weights(settings_);
    choose_path_ = std::discrete_distribution<std::size_t>{w.begin(), w.end()};
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
    next_.expires_at(first_due_ + std::chrono::duration_cast<duration>(offset));
    next_.async_wait([this](std::error_code ec) {
        if (!ec) {
            begin();
            schedule_next();
        }
    });
}

void load_generator::begin()
{
    auto r = std::make_shared<request>();
    r->id = settings_.order_prefix + "-" + std::to_string(started_++);
    r->path = &settings_.paths[choose_path_(random_)];
    if (!settings_.keys.empty()) {
        r->key = &settings_.keys[random_() % settings_.keys.size()];
    }
    r->due = next_.expiry();
    attempt(r);
}

http_call load_generator::make_call(const request& r)
{
    http_call call;
    call.address = settings_.nodes[random_() % settings_.nodes.size()];
    call.timeout = settings_.timeout + patience;
    auto& out = call.request;
    out.method = r.path->method;
    out.target = r.path->path;
    out.headers.push_back({"x-request-id", r.id});
    out.headers.push_back({"wh-timeout-ms", std::to_string(settings_.timeout.count())});
    if (r.key != nullptr) {
        out.headers.push_back({"Authorization", "Bearer " + r.key->key});
    }
    if (r.path->run_once) {
        out.headers.push_back({"Idempotency-Key", r.id});
        if (settings_.first_attempt && r.attempts == 0) {
            out.headers.push_back({"wh-first-attempt", "1"});
        }
    }
    else if (settings_.order_query) {
        out.target += (out.target.find('?') == std::string::npos ? "?order=" : "&order=") + r.id;
    }
    if (out.method != "GET" && out.method != "HEAD") {
        out.body = r.id + " " + settings_.body_marker;
        out.body.resize(std::max(out.body.size(), settings_.body_bytes), 'b');
    }
    return call;
}

void load_generator::attempt(const request_pointer& r)
{
    auto call = make_call(*r);
    ++r->attempts;
    client_.start(std::move(call), [this, r](const http_result& answer) { ended(r, answer); });
}

load_generator::verdict load_generator::judge(const request& r, const http_result& answer) const
{
    if (!answer.ok) {
        const bool not_sent = answer.sent == delivery::not_sent;
        return {not_sent ? ending::not_run : ending::unknown,
                (not_sent ? "not sent: " : "no answer: ") + answer.reason.code.message(), true};
    }
    const auto& response = answer.response;
    const auto outcome = value_or_empty(response.headers, "wh-outcome");
    const auto reason = value_or_empty(response.headers, "wh-reason");
    const bool worth_retry = response.status >= 500 || response.status == 429 || reason == "in-progress";
    if (outcome == "not-run") {
        return {ending::not_run, reason, worth_retry};
    }
    if (outcome == "unknown") {
        return {ending::unknown, reason, worth_retry};
    }
    if (response.status < 200 || response.status > 299) {
        return {ending::failed, reason, worth_retry};
    }
    return {is_whole_answer(response.body, r.id) ? ending::whole : ending::wrong, reason, false};
}

void load_generator::ended(const request_pointer& r, const http_result& answer)
{
    result_.attempted(answer.ok ? std::to_string(answer.response.status) : answer.reason.code.message());
    const auto v = judge(*r, answer);
    if (v.retry && r->attempts <= settings_.retries) {
        run_after(io_, settings_.retry_delay, [this, r] { attempt(r); });
        return;
    }
    const auto latency = std::chrono::steady_clock::now() - r->due;
    result_.ended(v.how, r->path->method + ":" + r->path->path, r->key == nullptr ? "" : r->key->workspace,
                  v.reason, std::chrono::duration_cast<std::chrono::microseconds>(latency));
    if (++finished_ == settings_.requests) {
        done_();
    }
}

} // namespace wagtailhatch::standin
