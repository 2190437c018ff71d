#include "tests/soak/soak_run.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <thread>

namespace wagtailhatch::testing {
namespace {

using namespace std::chrono_literals;

constexpr int requests_per_second = 60; ///< Per caller; there are two.
constexpr std::chrono::milliseconds max_fault_interval{500};
constexpr std::chrono::milliseconds poll_interval{50};
// stop_time of the settings, plus a margin to detect the exit of the process on a loaded machine.
constexpr std::chrono::milliseconds shutdown_timeout{9000};
constexpr const char* order_prefix = "order";
constexpr std::size_t store_fault_kinds = 8;
constexpr std::uint64_t max_copy_age_ms = 4000;

struct machine_spec {
    const char* name;
    const char* service;
    const char* zone;
};
constexpr std::array<machine_spec, 5> machine_specs{{{"f1", "front", "north"},
                                                     {"f2", "front", "south"},
                                                     {"b1", "back", "north"},
                                                     {"b2", "back", "south"},
                                                     {"b3", "back", "south"}}};

} // namespace

soak_run::soak_run(std::uint64_t seed, std::chrono::milliseconds duration)
    : seed_{seed}
    , duration_{duration}
    , random_{seed}
{
}

soak_run::~soak_run() = default;

void soak_run::log_event(const std::string& what)
{
    const auto at =
        std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start_time_);
    history_.push_back(std::to_string(at.count()) + " ms " + what);
}

void soak_run::start()
{
    start_time_ = std::chrono::steady_clock::now();
    deployment_.configure(example_config(config_version_));
    for (const auto& p : machine_specs) {
        auto& s = machines_[p.name];
        s.store = std::make_unique<loopback_proxy>(deployment_.store());
        deployment_.set_store_address(p.name, s.store->address());
        const bool calls = std::string{p.service} == "front";
        auto& m = deployment_.add(p.name, p.service, p.zone,
                                  calls ? std::vector<std::string>{"--calls=shop.example/back/x"}
                                        : std::vector<std::string>{});
        s.callers = std::make_unique<loopback_proxy>(m.callers());
    }
    if (!deployment_.wait_until_serving()) {
        report_violation("the instances did not become ready before the first fault");
    }
}

std::vector<std::string> soak_run::execute()
{
    start();
    std::string nodes;
    for (const auto& [name, s] : machines_) {
        nodes += (nodes.empty() ? "" : ",") + s.callers->address();
    }
    const auto requests = requests_per_second * duration_ / 1s;
    const std::vector<std::string> common{"--nodes=" + nodes,
                                          "--requests=" + std::to_string(requests),
                                          "--rate=" + std::to_string(requests_per_second),
                                          "--timeout_ms=2000",
                                          "--retries=2",
                                          "--retry_delay_ms=150",
                                          "--seed=" + std::to_string(seed_)};
    auto with_common_flags = [&](std::vector<std::string> more) {
        more.insert(more.begin(), common.begin(), common.end());
        return more;
    };
    auto orders = deployment_.start_caller(with_common_flags({"--paths=1:POST:shop.example/order/x",
                                                              std::string{"--id_prefix="} + order_prefix}),
                                           "orders");
    auto lookups = deployment_.start_caller(
        with_common_flags({"--paths=1:GET:shop.example/front/x", "--id_prefix=look"}), "lookups");
    const auto end = std::chrono::steady_clock::now() + duration_;
    while (std::chrono::steady_clock::now() < end) {
        inject_fault();
        const auto gap =
            std::chrono::duration_cast<std::chrono::milliseconds>(max_fault_interval * random_.unit());
        for (const auto until = std::chrono::steady_clock::now() + gap;
             std::chrono::steady_clock::now() < until;) {
            poll_nodes();
            std::this_thread::sleep_for(poll_interval);
        }
    }
    clear_all_faults();
    check_callers(orders, "orders");
    check_callers(lookups, "lookups");
    check_service();
    check_targets();
    return violations_;
}

void soak_run::inject_fault()
{
    auto chosen = machines_.begin();
    std::advance(chosen, static_cast<std::ptrdiff_t>(random_.below(machines_.size())));
    auto& [name, s] = *chosen;
    switch (random_.below(8)) {
    case 0:
    case 1:
        inject_node_fault(name, s);
        return;
    case 2:
        inject_target_fault(name, s);
        return;
    case 3:
    case 4:
        inject_connection_fault(name, s);
        return;
    case 5:
        inject_store_fault();
        return;
    case 6:
        change_configuration();
        return;
    default:
        clear_node_faults(name, s);
        return;
    }
}

void soak_run::inject_node_fault(const std::string& name, machine_state& s)
{
    auto& node = deployment_.at(name).node;
    if (!node.running() || s.stopping) {
        return;
    }
    switch (random_.below(4)) {
    case 0:
        log_event("SIGKILL to node " + name);
        node.signal(SIGKILL);
        restart_node(name, s);
        return;
    case 1:
        if (!s.node_paused) {
            log_event("SIGTERM to node " + name);
            node.signal(SIGTERM);
            s.stopping = true;
            s.shutdown_started = std::chrono::steady_clock::now();
        }
        return;
    case 2:
        log_event("SIGSTOP to node " + name);
        node.signal(SIGSTOP);
        s.node_paused = true;
        return;
    default:
        log_event("SIGHUP to node " + name);
        node.signal(SIGHUP);
        return;
    }
}

void soak_run::restart_node(const std::string& name, machine_state& s)
{
    auto& m = deployment_.at(name);
    m.node.wait_exit(5s);
    s.stopping = false;
    s.node_paused = false;
    s.config_version = 0;
    deployment_.start_node(m);
}

void soak_run::inject_target_fault(const std::string& name, machine_state& s)
{
    auto& m = deployment_.at(name);
    if (random_.below(2) == 0) {
        log_event("SIGSTOP to target " + name);
        m.target.signal(SIGSTOP);
        s.target_paused = true;
        return;
    }
    log_event("SIGKILL to target " + name);
    if (s.target_paused) {
        m.target.signal(SIGCONT);
        s.target_paused = false;
    }
    collect_ledger(name);
    m.target.signal(SIGKILL);
    m.target.wait_exit(5s);
    deployment_.start_target(m, m.target_flags);
}

void soak_run::inject_connection_fault(const std::string& name, machine_state& s)
{
    auto& proxy = random_.below(2) == 0 ? *s.callers : *s.store;
    const std::string which = &proxy == s.store.get() ? " (store) " : " (callers) ";
    if (random_.below(4) == 0) {
        log_event("reset connections" + which + name);
        proxy.reset_connections();
        return;
    }
    const auto mode = static_cast<proxy_mode>(random_.below(proxy_mode_names.size()));
    log_event("proxy mode " + std::string{to_string(mode)} + which + name);
    proxy.set_mode(mode);
}

void soak_run::inject_store_fault()
{
    if (random_.below(store_fault_kinds) == 0) {
        const auto age = 200 + random_.below(max_copy_age_ms);
        log_event("store returns from a copy of " + std::to_string(age) + " ms ago");
        deployment_.set_store_faults({{"restore_ms", age}});
        return;
    }
    static constexpr std::array<const char*, store_fault_kinds - 1> faults{
        R"({"silent": true})",
        R"({"status": 503})",
        R"({"status": 429})",
        R"({"delay_ms": 400})",
        "{}",
        R"({"lose_answers": true})",
        R"({"late_writes_ms": 1500})",
    };
    const std::string fault = faults.at(random_.below(faults.size()));
    log_event("store faults " + fault);
    deployment_.set_store_faults(nlohmann::json::parse(fault));
}

void soak_run::change_configuration()
{
    config_version_ += 1 + random_.below(3);
    log_event("write configuration " + std::to_string(config_version_));
    deployment_.configure(example_config(config_version_));
}

void soak_run::clear_node_faults(const std::string& name, machine_state& s)
{
    log_event("clear faults of " + name);
    s.callers->set_mode(proxy_mode::pass);
    s.store->set_mode(proxy_mode::pass);
    if (std::exchange(s.node_paused, false)) {
        deployment_.at(name).node.signal(SIGCONT);
    }
    if (std::exchange(s.target_paused, false)) {
        deployment_.at(name).target.signal(SIGCONT);
    }
}

void soak_run::poll_nodes()
{
    for (auto& [name, s] : machines_) {
        if (s.stopping) {
            check_shutdown(name, s);
        }
        else if (!s.node_paused) {
            check_config_version(name, s);
        }
    }
}

void soak_run::check_shutdown(const std::string& name, machine_state& s)
{
    auto& node = deployment_.at(name).node;
    if (!node.running()) {
        if (const auto code = node.wait_exit(1s); code != 0) {
            report_violation("node " + name + " ended its graceful shutdown with exit status " +
                             std::to_string(code.value_or(-1)));
        }
        restart_node(name, s);
    }
    else if (std::chrono::steady_clock::now() - s.shutdown_started > shutdown_timeout) {
        report_violation("node " + name + " still runs after the shutdown time limit");
        node.signal(SIGKILL);
        restart_node(name, s);
    }
}

void soak_run::check_config_version(const std::string& name, machine_state& s)
{
    auto& m = deployment_.at(name);
    if (!m.node.running()) {
        report_violation("node " + name + " exited unexpectedly");
        restart_node(name, s);
        return;
    }
    const auto status = deployment_.status(m);
    if (!status.is_object()) {
        return; // The node does not answer yet: it has just started.
    }
    const auto version = status.value("config_version", std::uint64_t{0});
    if (version < s.config_version) {
        report_violation("node " + name + " reverted from configuration " + std::to_string(s.config_version) +
                         " to " + std::to_string(version));
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
        report_violation("target " + name + " received an Authorization header or an API key");
    }
}

void soak_run::clear_all_faults()
{
    log_event("clear all faults");
    deployment_.set_store_faults(nlohmann::json::object());
    for (auto& [name, s] : machines_) {
        clear_node_faults(name, s);
    }
    while (std::any_of(machines_.begin(), machines_.end(), [](const auto& e) { return e.second.stopping; })) {
        poll_nodes();
        std::this_thread::sleep_for(poll_interval);
    }
}

void soak_run::check_callers(child_process& caller, const std::string& what)
{
    if (!caller.wait_exit(60s)) {
        report_violation("the caller of " + what + " did not finish within 60 s");
        return;
    }
    std::ifstream in{deployment_.folder() + "/" + what + ".out"};
    std::string line;
    std::getline(in, line);
    const auto result = nlohmann::json::parse(line, nullptr, false);
    log_event(what + ": " + line);
    if (!result.is_object() || result.value("wrong", 1) != 0) {
        report_violation(what + " received wrong answers or wrote no result: " + line);
    }
}

void soak_run::check_service()
{
    if (!deployment_.wait_until_serving()) {
        report_violation("the instances did not become ready within 30 s after the faults");
        return;
    }
    if (!eventually([&] { return deployment_.nodes_in_store() == machines_.size(); })) {
        report_violation("the store does not hold the row of each node");
    }
    for (const auto& [name, s] : machines_) {
        const auto& m = deployment_.at(name);
        const auto id = "after-" + name;
        if (!eventually([&] {
                return deployment_.status(m).value("config_version", std::uint64_t{0}) == config_version_;
            })) {
            report_violation("node " + name + " did not apply configuration " +
                             std::to_string(config_version_));
        }
        const bool served =
            eventually([&] { return deployment_.request(m, "GET", "/front/x", id).response.status == 200; });
        if (!served) {
            report_violation("node " + name + " does not answer requests with 200 after the faults");
        }
    }
}

void soak_run::check_targets()
{
    for (const auto& [name, s] : machines_) {
        collect_ledger(name);
    }
    for (const auto& [id, runs] : order_runs_) {
        if (runs > 1) {
            report_violation("order " + id + " ran " + std::to_string(runs) + " times");
        }
    }
}

} // namespace wagtailhatch::testing
