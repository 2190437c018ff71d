#include "src/node/control_plane.h"

#include "include/http/http_status.h"
#include "include/observe/logging.h"
#include "platform/evacuation_rows.h"
#include "platform/operator_config.h"
#include "platform/store_client.h"
#include "platform/target_messages.h"
#include "platform/wire_header_codec.h"
#include "src/core/socket_address.h"
#include "src/store/metered_row_store.h"

#include <utility>

namespace wagtailhatch {
namespace {

using namespace std::chrono_literals;

constexpr duration refused_log_interval = 10s;
constexpr auto probe_timeout = 500ms;
constexpr duration probe_retry_delay = 300ms;
// Bytes. Only the headers of a health check's answer are used.
constexpr std::size_t max_probe_response = std::size_t{64} << 10;

void respond_acknowledged(http_exchange& exchange)
{
    exchange.respond({http_status::ok, {{"Content-Type", "application/json"}}, "{}"});
}

} // namespace

control_plane::control_plane(asio::io_context& io, const clock& time, node_settings settings,
                             std::uint64_t incarnation, metrics& stats, control_events events)
    : io_{io}
    , time_{time}
    , settings_{std::move(settings)}
    , incarnation_{incarnation}
    , stats_{stats}
    , events_{std::move(events)}
    , evacuation_{platform::parse_evacuation_row}
    , target_{settings_.service, settings_.target, time_.now()}
    , probe_timer_{io}
{
}

control_plane::~control_plane()
{
    if (config_) {
        config_->stop();
    }
    if (registry_) {
        registry_->stop();
    }
}

result<bool> control_plane::listen(const std::string& address, http_server::handler handler)
{
    const auto endpoint = parse_address(address);
    if (!endpoint) {
        return make_error(errc::invalid_argument, "not an IP address and port: " + address);
    }
    http_server_options options;
    options.address = endpoint->address().to_string();
    options.port = endpoint->port();
    auto server = make_http_server(io_, options, std::move(handler));
    if (!server) {
        return server.failure();
    }
    servers_.push_back(std::move(*server));
    return true;
}

result<bool> control_plane::start()
{
    auto http = make_http_client(io_, {});
    if (!http) {
        return http.failure();
    }
    http_ = std::move(*http);
    store_era_.on_change([this](std::uint64_t era, std::uint64_t before) { on_store_era(era, before); });
    client_ = platform::make_store_client(*http_, {settings_.store}, store_era_);
    store_ = make_metered_row_store(*client_, stats_);
    if (auto done = listen(settings_.readiness, [this](auto exchange) { serve_readiness(*exchange); });
        !done) {
        return done;
    }
    if (auto done = listen(settings_.control, [this](auto exchange) { serve_control(exchange); }); !done) {
        return done;
    }
    if (!settings_.metrics.empty()) {
        if (auto done = listen(settings_.metrics, [this](auto exchange) { serve_metrics(exchange); });
            !done) {
            return done;
        }
    }
    config_ = std::make_unique<config_follower>(
        io_, *store_,
        config_follower_options{platform::operator_table, platform::config_key,
                                platform::evacuation_key_prefix},
        [](std::string_view document) { return platform::parse_operator_config(document); },
        [this](std::shared_ptr<const configuration> config, std::shared_ptr<const std::string> document) {
            if (const auto found = config->services.find(settings_.service);
                found != config->services.end()) {
                health_path_ = found->second.health_path;
            }
            events_.config(std::move(config), std::move(document));
            probe_target();
        });
    member self;
    self.address = settings_.peers;
    self.service = settings_.service;
    self.data_centre = settings_.data_centre;
    self.incarnation = incarnation_;
    registry_ = std::make_unique<node_registry>(
        io_, *store_, self, node_registry_options{},
        node_registry::events{events_.found, events_.removed, events_.fleet_read});
    events_.found(settings_.seeds);
    config_->on_rows([this](const followed_rows& r) {
        events_.evacuation(r.full_read ? evacuation_.on_read(r.rows, r.as_of)
                                       : evacuation_.on_changes(r.rows, r.as_of));
    });
    config_->on_store_call_end(events_.store_call_end);
    config_->start();
    registry_->start();
    return true;
}

void control_plane::on_store_era(std::uint64_t era, std::uint64_t before)
{
    stats_.gauge("wh_store_era", "Newest known era of the store").set(static_cast<double>(era));
    events_.store_era(era);
    if (before == 0) {
        log(log_level::info, "store era", {{"era", era}});
        return;
    }
    config_->on_store_era(era);
    registry_->on_store_era(era);
    stats_.counter("wh_store_era_changes_total", "Returns of the store from an older copy").add();
    log(log_level::warning, "store returned from an older copy", {{"era", era}, {"before", before}});
}

void control_plane::serve_readiness(http_exchange& exchange) const
{
    const bool asked = exchange.request().target == platform::readiness_path;
    const bool ready = !stopping_ && rates_known_ && config_->version() > 0;
    exchange.respond({!asked  ? http_status::not_found
                      : ready ? http_status::ok
                              : http_status::unavailable,
                      {},
                      {}});
}

void control_plane::serve_metrics(const std::shared_ptr<http_exchange>& exchange)
{
    if (exchange->request().target == "/status") {
        events_.status([exchange](std::string text) {
            exchange->respond({http_status::ok, {{"Content-Type", "application/json"}}, std::move(text)});
        });
        return;
    }
    exchange->respond({http_status::ok, {{"Content-Type", metrics_content_type}}, stats_.text()});
}

void control_plane::count_refused(const std::string& why)
{
    ++refused_calls_;
    stats_.counter("wh_target_calls_refused_total", "Announcements that could not be read or were foreign")
        .add();
    const auto now = time_.now();
    if (now - refused_logged_ > refused_log_interval) {
        refused_logged_ = now;
        log(log_level::warning, "announcement refused", {{"reason", why}, {"count", refused_calls_}});
    }
}

void control_plane::serve_control(const std::shared_ptr<http_exchange>& exchange)
{
    const auto& request = exchange->request();
    const auto call = platform::parse_target_call(request.method, request.target);
    switch (call.type) {
    case platform::target_call::kind::announce:
        announce(exchange, call.id);
        return;
    case platform::target_call::kind::leave: {
        const auto done = target_.on_leave(call.id, platform::parse_leave(request.body));
        log(log_level::info, "target leaves",
            {{"target", call.id}, {"stale", done == announcement_result::stale}});
        apply_target(exchange);
        return;
    }
    case platform::target_call::kind::unknown:
        break;
    }
    count_refused("unknown endpoint or method: " + request.method);
    exchange->respond({http_status::not_found, {}, {}});
}

void control_plane::announce(const std::shared_ptr<http_exchange>& exchange, const std::string& id)
{
    const auto announcement = platform::parse_announcement(id, exchange->request().body);
    if (!announcement) {
        count_refused(announcement.failure().message());
        exchange->respond({http_status::bad_request, {}, {}});
        return;
    }
    const auto outcome = target_.on_announcement(*announcement, time_.now());
    if (outcome == announcement_result::foreign) {
        count_refused("target has another service or address");
        exchange->respond({http_status::bad_request, {}, {}});
        return;
    }
    if (outcome == announcement_result::unconfirmed) {
        log(log_level::info, "announcement to be confirmed",
            {{"target", id}, {"sequence", announcement->sequence}});
        respond_acknowledged(*exchange);
        probe_target();
        return;
    }
    apply_target(exchange);
}

void control_plane::apply_target(const std::shared_ptr<http_exchange>& exchange)
{
    // The target relies on the acknowledgement, so the state must be in effect before it is sent.
    events_.target(target_.state(), [exchange] { respond_acknowledged(*exchange); });
}

void control_plane::probe_target()
{
    if (probing_ || config_->version() == 0 || !target_.needs_probe(time_.now())) {
        return;
    }
    probing_ = true;
    http_call call;
    call.address = settings_.target;
    call.request.method = "GET";
    call.request.target = health_path_.empty() ? "/healthz" : health_path_;
    call.timeout = probe_timeout;
    call.max_response = max_probe_response;
    http_->start(std::move(call), [this](const http_result& r) {
        probing_ = false;
        on_probe_result(r);
    });
}

void control_plane::on_probe_result(const http_result& result)
{
    const auto now = time_.now();
    const auto* id = find_header(result.response.headers, platform::instance_header);
    const bool healthy = result.ok && result.response.status == http_status::ok && id != nullptr;
    if (healthy && target_.needs_probe(now)) {
        const auto metadata = platform::wire_header_codec{}.read_response(result.response);
        target_.on_probe(*id, metadata.slots.value_or(0), metadata.cold_left, now);
        log(log_level::info, "target probed", {{"target", *id}, {"slots", metadata.slots.value_or(0)}});
        events_.target(target_.state(), [] {});
        return;
    }
    if (!target_.has_unconfirmed(now)) {
        return;
    }
    log(log_level::info, "target not confirmed",
        {{"answered", result.ok}, {"status", result.ok ? result.response.status : 0}});
    probe_timer_.expires_after(probe_retry_delay);
    probe_timer_.async_wait([this](const std::error_code& ec) {
        if (!ec) {
            probe_target();
        }
    });
}

void control_plane::target_down()
{
    log(log_level::warning, "target cannot be reached", {{"target", target_.state().id}});
}

void control_plane::on_target_leaving(const std::string& id)
{
    if (target_.on_leaving_response(id) == announcement_result::applied) {
        events_.target(target_.state(), [] {});
    }
}

void control_plane::set_store_reader(bool reads)
{
    log(log_level::info, "store reader", {{"reads", reads}, {"config", config_->version()}});
    config_->set_active(reads);
    registry_->set_active(reads);
}

void control_plane::begin_stop()
{
    stopping_ = true;
}

void control_plane::leave(std::function<void()> done)
{
    registry_->leave(std::move(done));
}

void control_plane::offer_config(const std::string& document)
{
    config_->offer_document(document);
}

} // namespace wagtailhatch
