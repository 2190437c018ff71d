#pragma once

#include "include/core/random_source.h"
#include "tests/soak/loopback_proxy.h"
#include "tests/system/deployment.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace wagtailhatch::testing {

/// Randomized fault-injection test for one seed. Injects faults, in series and overlapping, into the nodes,
/// targets, store and connections of a deployment under load, and checks its guarantees from what callers and
/// targets observe. Each node has one proxy for its callers and one for its connections to the store.
class soak_run {
public:
    soak_run(std::uint64_t seed, std::chrono::milliseconds duration);
    ~soak_run();
    soak_run(const soak_run&) = delete;
    soak_run& operator=(const soak_run&) = delete;

    /// Runs the test and returns one line per violated guarantee; empty if none was violated.
    std::vector<std::string> execute();

    /// Injected faults and results in chronological order, for the failure report.
    const std::vector<std::string>& history() const { return history_; }

private:
    struct machine_state {
        std::unique_ptr<loopback_proxy> callers;
        std::unique_ptr<loopback_proxy> store;
        bool node_paused = false;
        bool target_paused = false;
        bool stopping = false; ///< SIGTERM was sent and the node has not been restarted since.
        std::chrono::steady_clock::time_point shutdown_started{};
        std::uint64_t config_version = 0; ///< Last version seen since the node was started.
    };

    void start();
    void inject_fault();
    void inject_node_fault(const std::string& name, machine_state& s);
    void inject_target_fault(const std::string& name, machine_state& s);
    void inject_connection_fault(const std::string& name, machine_state& s);
    void inject_store_fault();
    void change_configuration();
    void poll_nodes();
    void check_shutdown(const std::string& name, machine_state& s);
    void check_config_version(const std::string& name, machine_state& s);
    void collect_ledger(const std::string& name);
    void restart_node(const std::string& name, machine_state& s);
    void clear_node_faults(const std::string& name, machine_state& s);
    void clear_all_faults();
    void check_callers(child_process& caller, const std::string& what);
    void check_targets();
    void check_service();
    void log_event(const std::string& what);
    void report_violation(const std::string& guarantee) { violations_.push_back(guarantee); }

    std::uint64_t seed_;
    std::chrono::milliseconds duration_;
    random_source random_;
    deployment deployment_;
    std::map<std::string, machine_state> machines_;
    std::uint64_t config_version_ = 1;
    std::chrono::steady_clock::time_point start_time_;
    std::map<std::string, std::uint64_t> order_runs_; ///< By order id, summed over the collected ledgers.
    std::vector<std::string> history_;
    std::vector<std::string> violations_;
};

} // namespace wagtailhatch::testing
