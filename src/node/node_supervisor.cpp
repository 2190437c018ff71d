#include "src/node/node_supervisor.h"

#include "include/observe/logging.h"

#include <asio/post.hpp>

#include <algorithm>
#include <future>
#include <random>
#include <utility>

namespace wagtailhatch {
namespace {

using namespace std::chrono_literals;

// An unreachable store must not delay the shutdown for longer.
constexpr std::chrono::milliseconds leave_timeout = 500ms;
// Fractions of the stop time by which the drain and the removal of the own row end, also if a thread is late.
// The rest is for closing the connections: a process that is killed resets them.
constexpr double drain_end_fraction = 0.9;
constexpr double leave_end_fraction = 0.95;

std::chrono::milliseconds fraction_of(std::chrono::milliseconds total, double fraction)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(total * fraction);
}

} // namespace

node_supervisor::node_supervisor(const clock& time, node_settings settings, const header_codec& codec)
    : clock_{time}
    , settings_{std::move(settings)}
    , codec_{codec}
    , metrics_{{{"service", settings_.service}, {"data_centre", settings_.data_centre}}}
{
}

node_supervisor::~node_supervisor()
{
    control_thread_.stop();
    traffic_thread_.stop();
    control_.reset();
    if (traffic_) {
        traffic_->close();
        traffic_thread_.run_ready();
    }
    traffic_.reset();
}

control_events node_supervisor::make_control_events()
{
    auto& traffic = traffic_thread_.io();
    auto& control = control_thread_.io();
    control_events events;
    events.config = [this, &traffic](std::shared_ptr<const configuration> config,
                                     std::shared_ptr<const std::string> document) {
        asio::post(traffic, [this, config = std::move(config), document = std::move(document)] {
            traffic_->set_configuration({config, document});
        });
    };
    events.evacuation = [this, &traffic](const evacuation_set& set) {
        asio::post(traffic, [this, set] { traffic_->set_evacuation(set); });
    };
    events.target = [this, &traffic, &control](const target_state& target, std::function<void()> done) {
        asio::post(traffic, [this, &control, target, done = std::move(done)]() mutable {
            traffic_->set_target(target);
            asio::post(control, std::move(done));
        });
    };
    events.found = [this, &traffic](const std::vector<peer_address>& nodes) {
        asio::post(traffic, [this, nodes] { traffic_->add_peers(nodes); });
    };
    events.fleet_read = [this, &traffic] { asio::post(traffic, [this] { traffic_->on_fleet_read(); }); };
    events.removed = [this, &traffic](const peer_address& node) {
        asio::post(traffic, [this, node] { traffic_->forget(node); });
    };
    events.store_era = [this, &traffic](std::uint64_t era) {
        asio::post(traffic, [this, era] { traffic_->set_store_era(era); });
    };
    events.store_call_end = [this, &traffic](bool answered) {
        asio::post(traffic, [this, answered] { traffic_->on_store_call_end(answered); });
    };
    events.status = [this, &traffic, &control](std::function<void(std::string)> done) {
        asio::post(traffic, [this, &control, done = std::move(done)]() mutable {
            asio::post(control, [done = std::move(done), text = traffic_->status_json()] { done(text); });
        });
    };
    return events;
}

traffic_events node_supervisor::make_traffic_events()
{
    // Runs a task with the control plane on its thread.
    const auto post = [this, &control = control_thread_.io()](auto task) {
        asio::post(control, [this, task = std::move(task)] {
            if (control_) {
                task(*control_);
            }
        });
    };
    traffic_events events;
    events.peer_config = [post](std::uint64_t, std::string document) {
        post([document = std::move(document)](control_plane& c) { c.offer_config(document); });
    };
    events.set_store_reader = [post](bool reads) {
        post([reads](control_plane& c) { c.set_store_reader(reads); });
    };
    events.target_leaving = [post](const std::string& id) {
        post([id](control_plane& c) { c.on_target_leaving(id); });
    };
    events.peer_left = [post](const peer_address& address, std::uint64_t incarnation) {
        post([address, incarnation](control_plane& c) { c.on_peer_left(address, incarnation); });
    };
    events.peer_store_era = [post](std::uint64_t era) {
        post([era](control_plane& c) { c.on_peer_store_era(era); });
    };
    events.rates_known = [post] { post([](control_plane& c) { c.on_rates_known(); }); };
    events.target_down = [post] { post([](control_plane& c) { c.target_down(); }); };
    return events;
}

result<bool> node_supervisor::start()
{
    traffic_ = std::make_unique<traffic_plane>(traffic_thread_.io(), clock_, settings_, codec_, node_metrics_,
                                               std::random_device{}(), make_traffic_events());
    if (auto started = traffic_->start(); !started) {
        return started;
    }
    control_ = std::make_unique<control_plane>(control_thread_.io(), clock_, settings_,
                                               traffic_->incarnation(), metrics_, make_control_events());
    if (auto started = control_->start(); !started) {
        return started;
    }
    traffic_thread_.start();
    control_thread_.start();
    return true;
}

void node_supervisor::reload(const node_settings& settings)
{
    asio::post(control_thread_.io(), [this, seeds = settings.seeds] { control_->set_seeds(seeds); });
}

void node_supervisor::wait_for(const std::function<void(std::function<void()>)>& task,
                               std::chrono::milliseconds limit)
{
    const auto done = std::make_shared<std::promise<void>>();
    auto ended = done->get_future();
    task([done] { done->set_value(); });
    if (ended.wait_for(limit) != std::future_status::ready) {
        log(log_level::warning, "shutdown step timed out");
    }
}

void node_supervisor::stop()
{
    if (std::exchange(stopped_, true) || !control_) {
        return;
    }
    const auto begun = clock_.now();
    const std::chrono::milliseconds stop_time = settings_.bounds.stop_time;
    asio::post(control_thread_.io(), [this] { control_->begin_stop(); });
    wait_for(
        [this](std::function<void()> done) {
            asio::post(traffic_thread_.io(),
                       [this, done = std::move(done)]() mutable { traffic_->drain(std::move(done)); });
        },
        fraction_of(stop_time, drain_end_fraction));
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(clock_.now() - begun);
    const auto left = std::max(fraction_of(stop_time, leave_end_fraction) - elapsed, 0ms);
    wait_for(
        [this](std::function<void()> done) {
            asio::post(control_thread_.io(),
                       [this, done = std::move(done)]() mutable { control_->leave(std::move(done)); });
        },
        std::min(leave_timeout, left));
}

} // namespace wagtailhatch
