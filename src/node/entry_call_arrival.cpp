#include "include/http/http_status.h"
#include "src/node/entry_call.h"

#include <xxhash.h>

#include <algorithm>
#include <memory>
#include <utility>

namespace wagtailhatch {
namespace {

using namespace std::chrono_literals;

// Time reserved for the final answer to reach the caller before the caller's timeout.
constexpr duration answer_margin = 20ms;
constexpr std::chrono::milliseconds default_time_limit = 30s;
// A request waits for tokens for at most 1/8 of its route's target latency: a later refusal costs its caller
// more.
constexpr int rate_wait_divisor = 8;
constexpr duration max_rate_wait = 100ms;
// Other nodes are not overloaded because this one stops.
constexpr duration stopping_retry_after = 100ms;

/// Hash of everything that makes two requests equal. Hashed in parts, because a body may be large.
std::uint64_t fingerprint_of(const http_request& request, std::string_view origin)
{
    const std::unique_ptr<XXH64_state_t, XXH_errorcode (*)(XXH64_state_t*)> state{XXH64_createState(),
                                                                                  XXH64_freeState};
    XXH64_reset(state.get(), 0);
    for (const std::string_view part :
         {std::string_view{request.method}, std::string_view{" "}, std::string_view{request.target},
          std::string_view{"\n"}, origin, std::string_view{"\n"}, std::string_view{request.body}}) {
        XXH64_update(state.get(), part.data(), part.size());
    }
    return XXH64_digest(state.get());
}

} // namespace

void entry_call::start()
{
    auto metadata = router_.codec_.read_request(exchange_->request.headers);
    call_.id = metadata.id;
    if (!authorize(metadata)) {
        return;
    }
    const auto limit = std::min(metadata.time_limit.value_or(default_time_limit), route_->timeout);
    call_.deadline = arrived_ + std::max<duration>(limit - answer_margin, 1ms);
    // Calls of this node's own target belong to requests that were taken on earlier.
    if (call_.depth == 0 && !router_.dispatcher_.admits_deadline(call_.deadline)) {
        refuse(http_status::unavailable, refusal_reason::leaving, stopping_retry_after);
        return;
    }
    call_.soft_deadline = is_nested_call(call_.level) ? call_.deadline : arrived_ + route_->target_latency;
    admit();
}

void entry_call::admit()
{
    if (call_.workspace.empty()) {
        begin();
        return;
    }
    const auto max_wait = std::min<duration>(route_->target_latency / rate_wait_divisor, max_rate_wait);
    router_.rates_.admit(
        call_.workspace, max_wait, router_.time_.now_with_suspend(),
        [self = shared_from_this()](const rate_decision& decision) { self->on_rate_decision(decision); });
    router_.poll_waiting_rates();
}

void entry_call::on_rate_decision(const rate_decision& decision)
{
    if (!decision.admitted) {
        refuse(http_status::too_many_requests, refusal_reason::over_rate, decision.retry_after);
        return;
    }
    charged_ = true;
    if (exchange_->disconnected()) {
        router_.rates_.refund(call_.workspace, router_.time_.now_with_suspend());
        on_caller_disconnect();
        return;
    }
    begin();
}

void entry_call::begin()
{
    call_.origin = router_.settings_.service;
    call_.idempotent = route_->idempotent;
    call_.service = snapshot_->next_service(*route_);
    call_.request = std::move(exchange_->request);
    call_.fingerprint = fingerprint_of(call_.request, call_.origin);
    auto& service = router_.service(call_.service);
    if (call_.repeated) {
        service.retries.charge(arrived_);
    }
    else {
        service.retries.on_request(arrived_);
        service.chains.on_request(call_, parent_, siblings_done_, arrived_);
    }
    if (call_.depth == 0 &&
        service.targets.should_shed(call_.route, call_.level, call_.workspace, arrived_)) {
        refuse(http_status::unavailable, refusal_reason::overload, shed_retry_after());
        return;
    }
    exchange_->on_disconnect([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->on_caller_disconnect();
        }
    });
    deadline_timer_.expires_at(call_.deadline);
    deadline_timer_.async_wait([self = shared_from_this()](const std::error_code& ec) {
        if (!ec) {
            self->on_deadline();
        }
    });
    attempt();
}

bool entry_call::authorize(const request_metadata& metadata)
{
    if (!snapshot_) {
        refuse(http_status::unavailable, refusal_reason::starting, 200ms);
        return false;
    }
    const auto& request = exchange_->request;
    const auto* host = find_header(request.headers, "Host");
    route_ = snapshot_->routes().find(host == nullptr ? std::string_view{} : *host, request.method,
                                      request.target);
    if (route_ == nullptr) {
        refuse(http_status::not_found, refusal_reason::unknown_route, {});
        return false;
    }
    call_.level = route_->level;
    call_.route = route_->name;
    const auto* parent = metadata.parent.empty() ? nullptr : router_.dispatcher_.running(metadata.parent);
    if (route_->open) {
        restrict_regions({}, parent);
        // The parent id decides the importance of the call. It must not grant access, because any process on
        // this machine can forge it.
        if (parent != nullptr) {
            inherit(*parent);
        }
        return true;
    }
    const auto match = snapshot_->keys().find(std::string_view{metadata.key});
    if (match.status != key_status::valid) {
        refuse(http_status::unauthorized,
               metadata.has_key ? refusal_reason::unknown_key : refusal_reason::key_required, {});
        return false;
    }
    call_.workspace = match.workspace->name;
    restrict_regions(match.workspace->regions, parent);
    call_.level = combine_importance(route_->level, match.workspace->level.value_or(importance::critical));
    return true;
}

void entry_call::restrict_regions(const allowed_regions& of_workspace, const service_call* parent)
{
    call_.regions = intersect(route_->regions, of_workspace);
    if (parent != nullptr) {
        call_.regions = intersect(call_.regions, parent->regions);
    }
    if (!call_.regions) {
        return;
    }
    allowed_data_centres_.emplace();
    for (const auto& [name, region] : router_.settings_.regions) {
        if (allows(call_.regions, region)) {
            allowed_data_centres_->insert(name);
        }
    }
}

void entry_call::inherit(const service_call& parent)
{
    call_.route = parent.route;
    call_.workspace = {};
    call_.level = nested_call_class(parent.level);
    call_.depth = parent.depth + 1;
    call_.repeated = parent.repeated;
    parent_ = parent.id;
    siblings_done_ = parent.calls_done;
}

} // namespace wagtailhatch
