#include "src/node/node_supervisor.h"

#include <asio/post.hpp>

#include <future>
#include <random>
#include <utility>

namespace wagtailhatch {
namespace {

// Bound of the last messages of a stopping node: a table that is away must not hold up the stop.
constexpr duration leave_limit = std::chrono::seconds{2};

std::uint64_t seed_of(const node_settings& settings)
{
    return settings.seed != 0 ? settings.seed : std::random_device{}();
}

} // namespace

node_supervisor::node_supervisor(const clock& time, node_settings settings)
    : clock_{time}
    , settings_{std::move(settings)}
{
}

node_supervisor::~node_supervisor()
{
    control_thread_.stop();
    traffic_thread_.stop();
    control_.reset();
    traffic_.reset();
}

control_requests node_supervisor::make_control_requests()
{
    control_requests requests;
    requests.follow = [this](const std::string& service) {
        asio::post(control_thread_.io(), [this, service] {
            if (control_) {
                control_->follow(service);
            }
        });
    };
    requests.target_changed = [this](bool ready, bool draining) {
        asio::post(control_thread_.io(), [this, ready, draining] {
            if (control_) {
                control_->target_changed(ready, draining);
            }
        });
    };
    requests.peer_lost = [this](const peer_address& address) {
        asio::post(control_thread_.io(), [this, address] {
            if (control_) {
                control_->peer_lost(address);
            }
        });
    };
    requests.config_request = [this](std::string payload, std::function<void(std::string)> respond) {
        asio::post(control_thread_.io(),
                   [this, payload = std::move(payload), respond = std::move(respond)]() mutable {
                       if (control_) {
                           control_->config_request(payload, std::move(respond));
                       }
                   });
    };
    return requests;
}

traffic_updates node_supervisor::make_traffic_updates()
{
    auto& io = traffic_thread_.io();
    traffic_updates updates;
    updates.activate = [this, &io](const node_ref& self) {
        asio::post(io, [this, self] { traffic_->activate(self); });
    };
    updates.configuration_changed = [this, &io](std::shared_ptr<const configuration> config) {
        asio::post(io, [this, config = std::move(config)] { traffic_->set_configuration(config); });
    };
    updates.members_changed = [this, &io](std::shared_ptr<const member_lists> members) {
        asio::post(io, [this, members = std::move(members)] { traffic_->set_members(members); });
    };
    updates.instance_ended = [this, &io](const std::string& id, std::uint64_t incarnation) {
        asio::post(io, [this, id, incarnation] { traffic_->report_ended(id, incarnation); });
    };
    updates.stale_changed = [this, &io](bool stale) {
        asio::post(io, [this, stale] { traffic_->set_stale(stale); });
    };
    updates.status_changed = [this, &io](const control_status& status) {
        asio::post(io, [this, status] { traffic_->set_control_status(status); });
    };
    updates.send_config = [this, &io](const peer_address& to, std::string payload, duration timeout,
                                      std::function<void(peer_reply)> done) {
        auto back = [this, done = std::move(done)](peer_reply reply) {
            asio::post(control_thread_.io(),
                       [done, reply = std::move(reply)]() mutable { done(std::move(reply)); });
        };
        asio::post(io, [this, to, payload = std::move(payload), timeout, back = std::move(back)]() mutable {
            traffic_->peers().request(to, channel::config, std::move(payload), timeout, std::move(back));
        });
    };
    return updates;
}

result<node_ports> node_supervisor::start()
{
    const auto seed = seed_of(settings_);
    auto traffic = make_traffic_plane(traffic_thread_.io(), clock_, settings_, seed, make_control_requests());
    if (!traffic) {
        return traffic.failure();
    }
    traffic_ = std::move(*traffic);
    const auto ports = traffic_->ports();
    auto control = make_control_plane(control_thread_.io(), clock_, settings_, ports.peers, seed + 1,
                                      make_traffic_updates());
    if (!control) {
        return control.failure();
    }
    control_ = std::move(*control);
    traffic_thread_.start();
    control_thread_.start();
    control_thread_.run_and_wait([this] { control_->start(); });
    return ports;
}

void node_supervisor::wait_for(const std::function<void(std::function<void()>)>& task)
{
    const auto done = std::make_shared<std::promise<void>>();
    task([done] { done->set_value(); });
    done->get_future().wait();
}

void node_supervisor::stop()
{
    if (std::exchange(stopped_, true) || !control_) {
        return;
    }
    control_thread_.run_and_wait([this] { control_->announce_leaving(); });
    wait_for([this](std::function<void()> done) {
        asio::post(traffic_thread_.io(), [this, done = std::move(done)]() mutable {
            traffic_->drain(settings_.drain_timeout, std::move(done));
        });
    });
    wait_for([this](std::function<void()> done) {
        asio::post(control_thread_.io(), [this, done = std::move(done)]() mutable {
            control_->leave(leave_limit, std::move(done));
        });
    });
}

} // namespace wagtailhatch
