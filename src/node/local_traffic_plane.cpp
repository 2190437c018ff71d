#include "src/node/local_traffic_plane.h"

#include "include/peer/make_peer_transport.h"
#include "include/platform/http_table_service.h"
#include "src/node/quarantine_message.h"
#include "src/node/traffic_config.h"

#include <asio/post.hpp>

#include <array>
#include <utility>

namespace wagtailhatch {
namespace {

// Slot bookkeeping is due every 20 to 100 ms.
constexpr auto tick_interval = std::chrono::milliseconds{50};
constexpr duration group_timeout = std::chrono::seconds{2};
// Time that a stopping node keeps refusing new work, so that peers and callers learn of its leaving.
constexpr duration least_leaving = std::chrono::milliseconds{500};
// Of requests whose caller started no trace, while an endpoint is set.
constexpr std::uint32_t sampled_one_in = 100;
constexpr std::size_t max_run_once_slots_memory = 200'000;

http_server_options listener_options(const listen_address& address)
{
    http_server_options options;
    options.address = address.ip;
    options.port = address.port;
    return options;
}

error listener_error(const char* setting, const listen_address& address, const error& e)
{
    return {e.code, std::string{"setting "} + setting + " (" + address.ip + ":" +
                        std::to_string(address.port) + "): " + e.detail};
}

} // namespace

local_traffic_plane::local_traffic_plane(asio::io_context& io, const clock& time,
                                         const node_settings& settings, std::uint64_t seed,
                                         control_requests control)
    : io_{io}
    , clock_{time}
    , settings_{settings}
    , random_{seed}
    , control_{std::move(control)}
    , tick_timer_{io}
{
}

local_traffic_plane::~local_traffic_plane() = default;

result<bool> local_traffic_plane::open()
{
    auto target_client = make_http_client(io_, {});
    auto platform_client = make_http_client(io_, {});
    if (!target_client || !platform_client) {
        return make_error(errc::unavailable, "HTTP client");
    }
    target_client_ = std::move(*target_client);
    platform_client_ = std::move(*platform_client);
    table_ = make_http_table_service(*platform_client_, settings_.platform);
    telemetry_ = std::make_unique<telemetry>(io_, clock_, *platform_client_, settings_);

    peer_options peer;
    peer.listen_address = settings_.peers.ip;
    peer.port = settings_.peers.port;
    peer.advertised_address = settings_.advertised;
    peer.secret = settings_.peer_secret;
    auto peers = make_peer_transport(io_, clock_, peer);
    if (!peers) {
        return listener_error("peers", settings_.peers, peers.failure());
    }
    peers_ = std::move(*peers);
    create_calls();
    install_peer_handlers();
    return open_listeners();
}

result<bool> local_traffic_plane::open_listeners()
{
    struct listener {
        const char* name;
        const listen_address& address;
        std::unique_ptr<http_server>& server;
        http_server::handler handler;
    };
    const std::array<listener, 3> listeners{
        listener{"callers", settings_.callers, callers_listener_,
                 [this](const std::shared_ptr<http_exchange>& e) {
                     if (entry_) {
                         entry_->handle(e);
                     }
                     else {
                         e->respond({503, {{"wh-outcome", "not-run"}, {"wh-reason", "starting"}}, {}});
                     }
                 }},
        listener{"local", settings_.local, local_listener_,
                 [this](const std::shared_ptr<http_exchange>& e) {
                     if (outgoing_) {
                         outgoing_->handle(e);
                     }
                     else {
                         e->respond({503, {{"wh-outcome", "not-run"}, {"wh-reason", "starting"}}, {}});
                     }
                 }},
        listener{"admin", settings_.admin, admin_listener_,
                 [this](const std::shared_ptr<http_exchange>& e) { handle_admin(*e); }}};
    for (const auto& l : listeners) {
        auto server = make_http_server(io_, listener_options(l.address), l.handler);
        if (!server) {
            return listener_error(l.name, l.address, server.failure());
        }
        l.server = std::move(*server);
    }
    return true;
}

node_ports local_traffic_plane::ports() const
{
    return {callers_listener_->port(), local_listener_->port(), admin_listener_->port(),
            peers_->local_address()};
}

void local_traffic_plane::create_calls()
{
    call_router::options options;
    options.instance = settings_.instance;
    options.data_centre = settings_.data_centre;
    router_ = std::make_unique<call_router>(options, clock_, random_, *peers_);
    router_->on_unknown_service([this](const std::string& service) { control_.follow(service); });

    call_server::hooks hooks;
    hooks.target_changed = control_.target_changed;
    hooks.target_died = [this](const death_report& report) {
        tell_group(encode(quarantine_message{quarantine_message::kind::death, report}));
    };
    hooks.cleared = [this](std::uint64_t fingerprint) {
        tell_group(encode(quarantine_message{quarantine_message::kind::cleared, {0, {fingerprint}}}));
    };
    hooks.served = [this](const call_context& context, steady_time started, const call_reply& reply) {
        telemetry_->on_served(context, started, reply);
    };
    server_ = std::make_unique<call_server>(io_, clock_, random_, *target_client_, *router_,
                                            settings_.service, std::move(hooks));
    router_->set_local_server([this](call_message message, std::function<void(call_reply)> respond) {
        return server_->submit(std::move(message), std::move(respond));
    });
}

void local_traffic_plane::activate(const node_ref& self)
{
    self_ = self;
    slot_service_options options;
    options.ownership.data_centre = settings_.data_centre;
    options.wallet.data_centre = settings_.data_centre;
    options.wallet.data_centres = {settings_.data_centre};
    options.run_once.most_claims = max_run_once_slots_memory;
    if (config_) {
        options.ownership.slots = config_->slots_per_data_centre;
    }
    message_sender& sender = *this;
    slots_ = std::make_unique<slot_service>(options, self, *table_, sender, clock_, random_);
    entry_ = std::make_unique<entry_handler>(io_, clock_, random_, *router_, *slots_);
    entry_->set_sampling(settings_.trace_endpoint.empty() ? 0 : sampled_one_in);
    outgoing_ = std::make_unique<outgoing_handler>(clock_, random_, *router_, *server_, *slots_);
    entry_->set_observer([this](const call_message& m, steady_time started, const http_response& r) {
        telemetry_->on_entry(m, started, r);
    });
    slots_->set_runner(
        [this](const run_once_order& order, steady_time deadline, std::function<void(run_once_result)> done) {
            entry_->run_order(order, deadline, std::move(done));
        });
    entry_->set_stale(stale_);
    apply_configuration();
    apply_members();
    tick();
}

void local_traffic_plane::apply_configuration()
{
    if (!config_) {
        return;
    }
    router_->set_configuration(*config_);
    server_->set_configuration(config_);
    if (slots_) {
        const auto traffic = std::make_shared<const traffic_config>(config_);
        entry_->set_configuration(traffic);
        outgoing_->set_configuration(traffic);
        slots_->set_configuration(config_);
    }
}

void local_traffic_plane::apply_members()
{
    if (members_) {
        for (const auto& [service, list] : *members_) {
            router_->set_members(service, list);
        }
    }
    if (!slots_) {
        return;
    }
    std::map<std::string, std::vector<node_ref>> by_data_centre;
    by_data_centre[settings_.data_centre].push_back(*self_);
    if (members_) {
        for (const auto& [service, list] : *members_) {
            for (const auto& m : list) {
                const bool live = m.state == member_state::ready || m.state == member_state::joining ||
                                  m.state == member_state::suspect;
                if (live && m.id != settings_.instance) {
                    by_data_centre[m.data_centre].push_back({m.id, m.incarnation, m.address});
                }
            }
        }
    }
    for (auto& [name, nodes] : by_data_centre) {
        slots_->set_members(name, std::move(nodes));
    }
}

void local_traffic_plane::set_configuration(const std::shared_ptr<const configuration>& config)
{
    config_ = config;
    apply_configuration();
}

void local_traffic_plane::set_members(const std::shared_ptr<const member_lists>& members)
{
    members_ = members;
    apply_members();
}

void local_traffic_plane::report_ended(const std::string& id, std::uint64_t incarnation)
{
    if (slots_) {
        slots_->report_ended(id, incarnation);
    }
}

void local_traffic_plane::set_stale(bool stale)
{
    stale_ = stale;
    if (entry_) {
        entry_->set_stale(stale);
    }
}

void local_traffic_plane::request(const peer_address& to, channel c, std::string payload, duration timeout,
                                  std::function<void(peer_reply)> done)
{
    peers_->request(to, c, std::move(payload), timeout, std::move(done));
}

void local_traffic_plane::install_peer_handlers()
{
    peers_->on_peer_lost(control_.peer_lost);
    peers_->set_handler(channel::call,
                        [this](const std::shared_ptr<peer_request>& request) { serve_call(request); });
    peers_->set_handler(channel::group,
                        [this](const std::shared_ptr<peer_request>& request) { serve_group(request); });
    peers_->set_handler(channel::config, [this](const std::shared_ptr<peer_request>& request) {
        // Configuration lives on the control thread; the answer comes back to this one.
        control_.config_request(request->payload(), [this, request](std::string answer) {
            asio::post(io_, [request, answer = std::move(answer)]() mutable {
                request->respond(std::move(answer));
            });
        });
    });
    for (const auto c : {channel::quota, channel::claim, channel::slot}) {
        peers_->set_handler(c, [this, c](const std::shared_ptr<peer_request>& request) {
            if (slots_) {
                slots_->handle(c, request->payload(),
                               [request](std::string answer) { request->respond(std::move(answer)); });
            }
        });
    }
}

void local_traffic_plane::serve_call(const std::shared_ptr<peer_request>& request)
{
    auto message = decode_call_message(request->payload(), clock_.now());
    if (!message || message->service != settings_.service) {
        call_reply reply;
        reply.result = outcome::not_run;
        reply.reason = message ? refusal_reason::no_target : refusal_reason::malformed;
        request->respond(encode(reply));
        return;
    }
    auto cancel = server_->submit(std::move(*message),
                                  [request](const call_reply& reply) { request->respond(encode(reply)); });
    request->on_cancel(std::move(cancel));
}

void local_traffic_plane::serve_group(const std::shared_ptr<peer_request>& request)
{
    request->respond({});
    const auto message = decode_quarantine_message(request->payload());
    if (!message) {
        return;
    }
    if (message->what == quarantine_message::kind::death) {
        server_->quarantine().on_death(message->report, clock_.now());
        return;
    }
    for (const auto fingerprint : message->report.fingerprints) {
        server_->quarantine().on_finished(fingerprint);
    }
}

void local_traffic_plane::tell_group(const std::string& payload)
{
    if (!members_) {
        return;
    }
    const auto group = members_->find(settings_.service);
    if (group == members_->end()) {
        return;
    }
    for (const auto& m : group->second) {
        if (m.id != settings_.instance && m.state != member_state::dead && m.state != member_state::left) {
            peers_->request(m.address, channel::group, payload, group_timeout, [](const peer_reply&) {});
        }
    }
}

void local_traffic_plane::tick()
{
    slots_->tick();
    tick_timer_.expires_after(tick_interval);
    tick_timer_.async_wait([this](const std::error_code& failure) {
        if (!failure) {
            tick();
        }
    });
}

void local_traffic_plane::drain(duration limit, std::function<void()> done)
{
    draining_ = true;
    drained_ = std::move(done);
    drain_until_ = clock_.now() + limit;
    server_->leave();
    if (entry_) {
        entry_->leave();
    }
    callers_listener_->drain();
    if (slots_) {
        slots_->hand_over_all(limit, [this] { slots_handed_over_ = true; });
    }
    else {
        slots_handed_over_ = true;
    }
    auto timer = std::make_shared<asio::steady_timer>(io_, least_leaving);
    timer->async_wait([this, timer](const std::error_code&) { wait_until_idle(); });
}

bool local_traffic_plane::idle() const
{
    return server_->idle() && (!entry_ || entry_->in_flight() == 0) && slots_handed_over_;
}

void local_traffic_plane::wait_until_idle()
{
    if (idle() || clock_.now() >= drain_until_) {
        peers_->shutdown(std::exchange(drained_, nullptr));
        return;
    }
    auto timer = std::make_shared<asio::steady_timer>(io_, std::chrono::milliseconds{20});
    timer->async_wait([this, timer](const std::error_code&) { wait_until_idle(); });
}

result<std::unique_ptr<traffic_plane>> make_traffic_plane(asio::io_context& io, const clock& time,
                                                          const node_settings& settings, std::uint64_t seed,
                                                          control_requests control)
{
    auto plane = std::make_unique<local_traffic_plane>(io, time, settings, seed, std::move(control));
    if (auto opened = plane->open(); !opened) {
        return opened.failure();
    }
    return std::unique_ptr<traffic_plane>{std::move(plane)};
}

} // namespace wagtailhatch
