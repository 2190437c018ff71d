#include "tests/soak/soak_run.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <thread>

namespace wagtailhatch::testing {
namespace {

using namespace std::chrono_literals;

constexpr int requests_per_second = 60; ///< Per caller; there are two.
constexpr std::chrono::milliseconds longest_gap{500};
constexpr std::chrono::milliseconds watch_interval{50};
// stop_time of the settings, plus a margin to detect the exit of the process on a loaded machine.
constexpr std::chrono::milliseconds stop_bound{9000};
constexpr const char* order_prefix = "order";

struct place {
    const char* name;
    const char* service;
    const char* zone;
};
constexpr std::array<place, 5> places{{{"f1", "front", "north"},
                                       {"f2", "front", "south"},
                                       {"b1", "back", "north"},
                                       {"b2", "back", "south"},
                                       {"b3", "back", "south"}}};

} // namespace

soak_run::soak_run(std::uint64_t seed, std::chrono::milliseconds length)
    : seed_{seed}
    , length_{length}
    , random_{seed}
{
}

soak_run::~soak_run() = default;

void soak_run::note(const std::string& what)
{
    const auto at =
        std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - began_);
    history_.push_back(std::to_string(at.count()) + " ms " + what);
}

void soak_run::start()
{
    began_ = std::chrono::steady_clock::now();
    deployment_.configure(example_config(version_));
    for (const auto& p : places) {
        auto& s = sites_[p.name];
        s.store = std::make_unique<loopback_proxy>(deployment_.store());
        deployment_.set_store_of(p.name, s.store->address());
        const bool calls = std::string{p.service} == "front";
        auto& m = deployment_.add(p.name, p.service, p.zone,
                                  calls ? std::vector<std::string>{"--calls=shop.example/back/x"}
                                        : std::vector<std::string>{});
        s.callers = std::make_unique<loopback_proxy>(m.callers());
    }
    if (!deployment_.serving()) {
        broken("the instances did not become ready before the first fault");
    }
}

std::vector<std::string> soak_run::play()
{
    start();
    std::string nodes;
    for (const auto& [name, s] : sites_) {
        nodes += (nodes.empty() ? "" : ",") + s.callers->address();
    }
    const auto requests = requests_per_second * length_ / 1s;
    const std::vector<std::string> common{"--nodes=" + nodes,
                                          "--requests=" + std::to_string(requests),
                                          "--rate=" + std::to_string(requests_per_second),
                                          "--timeout_ms=2000",
                                          "--retries=2",
                                          "--retry_delay_ms=150",
                                          "--seed=" + std::to_string(seed_)};
    auto with = [&](std::vector<std::string> more) {
        more.insert(more.begin(), common.begin(), common.end());
        return more;
    };
    auto orders = deployment_.start_caller(
        with({"--paths=1:POST:shop.example/order/x", std::string{"--id_prefix="} + order_prefix}), "orders");
    auto lookups =
        deployment_.start_caller(with({"--paths=1:GET:shop.example/front/x", "--id_prefix=look"}), "lookups");
    const auto end = std::chrono::steady_clock::now() + length_;
    while (std::chrono::steady_clock::now() < end) {
        harm_one();
        const auto gap = std::chrono::duration_cast<std::chrono::milliseconds>(longest_gap * random_.unit());
        for (const auto until = std::chrono::steady_clock::now() + gap;
             std::chrono::steady_clock::now() < until;) {
            watch();
            std::this_thread::sleep_for(watch_interval);
        }
    }
    heal();
    check_callers(orders, "orders");
    check_callers(lookups, "lookups");
    check_service();
    check_targets();
    return broken_;
}

void soak_run::harm_one()
{
    auto chosen = sites_.begin();
    std::advance(chosen, static_cast<std::ptrdiff_t>(random_.below(sites_.size())));
    auto& [name, s] = *chosen;
    switch (random_.below(8)) {
    case 0:
    case 1:
        harm_node(name, s);
        return;
    case 2:
        harm_target(name, s);
        return;
    case 3:
    case 4:
        harm_connections(name, s);
        return;
    case 5:
        harm_store();
        return;
    case 6:
        change_configuration();
        return;
    default:
        resume(name, s);
        return;
    }
}

void soak_run::harm_node(const std::string& name, site& s)
{
    auto& node = deployment_.at(name).node;
    if (!node.running() || s.stopping) {
        return;
    }
    switch (random_.below(4)) {
    case 0:
        note("SIGKILL to node " + name);
        node.signal(SIGKILL);
        restart_node(name, s);
        return;
    case 1:
        if (!s.node_paused) {
            note("SIGTERM to node " + name);
            node.signal(SIGTERM);
            s.stopping = true;
            s.stopped_at = std::chrono::steady_clock::now();
        }
        return;
    case 2:
        note("SIGSTOP to node " + name);
        node.signal(SIGSTOP);
        s.node_paused = true;
        return;
    default:
        note("SIGHUP to node " + name);
        node.signal(SIGHUP);
        return;
    }
}

void soak_run::restart_node(const std::string& name, site& s)
{
    auto& m = deployment_.at(name);
    m.node.wait_exit(5s);
    s.stopping = false;
    s.node_paused = false;
    s.config_version = 0;
    deployment_.start_node(m);
}

void soak_run::harm_target(const std::string& name, site& s)
{
    auto& m = deployment_.at(name);
    if (random_.below(2) == 0) {
        note("SIGSTOP to target " + name);
        m.target.signal(SIGSTOP);
        s.target_paused = true;
        return;
    }
    note("SIGKILL to target " + name);
    if (s.target_paused) {
        m.target.signal(SIGCONT);
        s.target_paused = false;
    }
    collect_ledger(name);
    m.target.signal(SIGKILL);
    m.target.wait_exit(5s);
    deployment_.start_target(m, m.target_flags);
}

void soak_run::harm_connections(const std::string& name, site& s)
{
    auto& proxy = random_.below(2) == 0 ? *s.callers : *s.store;
    const std::string which = &proxy == s.store.get() ? " (store) " : " (callers) ";
    if (random_.below(4) == 0) {
        note("reset connections" + which + name);
        proxy.reset_connections();
        return;
    }
    const auto mode = static_cast<proxy_mode>(random_.below(proxy_mode_names.size()));
    note("proxy mode " + std::string{to_string(mode)} + which + name);
    proxy.set_mode(mode);
}

void soak_run::harm_store()
{
    static constexpr std::array<const char*, 7> faults{
        R"({"silent": true})",
        R"({"status": 503})",
        R"({"status": 429})",
        R"({"delay_ms": 400})",
        "{}",
        R"({"lose_answers": true})",
        R"({"late_writes_ms": 1500})",
    };
    const std::string fault = faults.at(random_.below(faults.size()));
    note("store faults " + fault);
    deployment_.store_faults(nlohmann::json::parse(fault));
}

void soak_run::change_configuration()
{
    version_ += 1 + random_.below(3);
    note("write configuration " + std::to_string(version_));
    deployment_.configure(example_config(version_));
}

void soak_run::resume(const std::string& name, site& s)
{
    note("clear faults of " + name);
    s.callers->set_mode(proxy_mode::pass);
    s.store->set_mode(proxy_mode::pass);
    if (std::exchange(s.node_paused, false)) {
        deployment_.at(name).node.signal(SIGCONT);
    }
    if (std::exchange(s.target_paused, false)) {
        deployment_.at(name).target.signal(SIGCONT);
    }
}

void soak_run::watch()
{
    for (auto& [name, s] : sites_) {
        if (s.stopping) {
            watch_stop(name, s);
        }
        else if (!s.node_paused) {
            watch_configuration(name, s);
        }
    }
}

void soak_run::watch_stop(const std::string& name, site& s)
{
    auto& node = deployment_.at(name).node;
    if (!node.running()) {
        if (const auto code = node.wait_exit(1s); code != 0) {
            broken("node " + name + " ended its graceful shutdown with exit status " +
                   std::to_string(code.value_or(-1)));
        }
        restart_node(name, s);
    }
    else if (std::chrono::steady_clock::now() - s.stopped_at > stop_bound) {
        broken("node " + name + " still runs after the shutdown time limit");
        node.signal(SIGKILL);
        restart_node(name, s);
    }
}

void soak_run::watch_configuration(const std::string& name, site& s)
{
    auto& m = deployment_.at(name);
    if (!m.node.running()) {
        broken("node " + name + " exited unexpectedly");
        restart_node(name, s);
        return;
    }
    const auto status = deployment_.status(m);
    if (!status.is_object()) {
        return; // The node has just started.
    }
    const auto version = status.value("config_version", std::uint64_t{0});
    if (version < s.config_version) {
        broken("node " + name + " reverted from configuration " + std::to_string(s.config_version) + " to " +
               std::to_string(version));
    }
    s.config_version = version;
}

void soak_run::collect_ledger(const std::string& name)
{
    const auto ledger = deployment_.ledger(deployment_.at(name));
    if (!ledger.is_object()) {
        return;
    }
    const auto by_id = ledger.value("runs_by_id", nlohmann::json::object());
    for (const auto& [id, runs] : by_id.items()) {
        // Calls made by an order (ids with a dot) are lookups, which may run more than once.
        if (id.rfind(order_prefix, 0) == 0 && id.find('.') == std::string::npos) {
            // Sums over all attempts of an order: the caller resends it only after a "not run" response.
            order_runs_[id.substr(0, id.rfind('a'))] += runs.get<std::uint64_t>();
        }
    }
    if (ledger.value("authorization_seen", false) || ledger.value("forbidden_seen", false)) {
        broken("target " + name + " received an Authorization header or an API key");
    }
}

void soak_run::heal()
{
    note("clear all faults");
    deployment_.store_faults(nlohmann::json::object());
    for (auto& [name, s] : sites_) {
        resume(name, s);
    }
    while (std::any_of(sites_.begin(), sites_.end(), [](const auto& e) { return e.second.stopping; })) {
        watch();
        std::this_thread::sleep_for(watch_interval);
    }
}

void soak_run::check_callers(child_process& caller, const std::string& what)
{
    if (!caller.wait_exit(60s)) {
        broken("the caller of " + what + " did not finish within 60 s");
        return;
    }
    std::ifstream in{deployment_.folder() + "/" + what + ".out"};
    std::string line;
    std::getline(in, line);
    const auto result = nlohmann::json::parse(line, nullptr, false);
    note(what + ": " + line);
    if (!result.is_object() || result.value("wrong", 1) != 0) {
        broken(what + " received wrong answers or wrote no result: " + line);
    }
}

void soak_run::check_service()
{
    if (!deployment_.serving()) {
        broken("the instances did not become ready within 30 s after the faults");
        return;
    }
    for (const auto& [name, s] : sites_) {
        const auto& m = deployment_.at(name);
        const auto id = "after-" + name;
        if (!eventually([&] {
                return deployment_.status(m).value("config_version", std::uint64_t{0}) == version_;
            })) {
            broken("node " + name + " did not apply configuration " + std::to_string(version_));
        }
        const bool served =
            eventually([&] { return deployment_.request(m, "GET", "/front/x", id).response.status == 200; });
        if (!served) {
            broken("node " + name + " does not answer requests with 200 after the faults");
        }
    }
}

void soak_run::check_targets()
{
    for (const auto& [name, s] : sites_) {
        collect_ledger(name);
    }
    for (const auto& [id, runs] : order_runs_) {
        if (runs > 1) {
            broken("order " + id + " ran " + std::to_string(runs) + " times");
        }
    }
}

} // namespace wagtailhatch::testing
