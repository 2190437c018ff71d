#pragma once

#include "include/config/configuration.h"
#include "include/http/http_client.h"
#include "tests/system/child_process.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace wagtailhatch::testing {

/// Sends one request and waits for its end.
http_result send(const std::string& address, http_request request,
                 std::chrono::milliseconds timeout = std::chrono::seconds{5});

/// Value of a response header; empty if absent.
std::string header(const http_result& r, const std::string& name);

/// Polls until condition holds; false after limit. Bounds are generous: they only end a test that hangs.
bool eventually(const std::function<bool()>& condition,
                std::chrono::milliseconds limit = std::chrono::seconds{30});

/// A store, nodes and targets as processes. Each machine has a loopback address of its own, so that several
/// deployments run side by side with the same ports.
class deployment {
public:
    deployment();
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    struct machine {
        std::string name;
        std::string ip;
        std::string service;
        std::string zone;
        child_process node;
        child_process target;
        std::uint64_t incarnations = 0;
        std::vector<std::string> target_flags;

        std::string callers() const { return ip + ":8548"; }
        std::string control() const { return ip + ":8540"; }
        std::string readiness() const { return ip + ":8546"; }
        std::string metrics() const { return ip + ":7015"; }
        std::string target_address() const { return ip + ":8547"; }
    };

    /// Writes the operators' configuration with one workspace `cafe`, whose key is key().
    void configure(const configuration& config);

    /// Starts a node and its target; extra are flags of the target.
    machine& add(const std::string& name, const std::string& service, const std::string& zone,
                 std::vector<std::string> extra = {});
    machine& at(const std::string& name) { return machines_.at(name); }

    void start_node(machine& m);
    void start_target(machine& m, std::vector<std::string> extra);

    /// Waits until every node is ready and reaches the target of every other.
    bool serving();

    /// Sends a request of a caller to a machine.
    http_result request(const machine& m, const std::string& method, const std::string& path,
                        const std::string& id, const std::string& key_sent = key(),
                        std::chrono::milliseconds limit = std::chrono::seconds{3});

    nlohmann::json status(const machine& m) const;
    nlohmann::json ledger(const machine& m) const;

    /// Most runs of one request id at any target.
    std::uint64_t most_runs();

    void store_faults(const nlohmann::json& faults);

    /// The node of a machine that is added later reaches the store at this address.
    void set_store_of(const std::string& machine, const std::string& address)
    {
        store_of_[machine] = address;
    }

    /// Nodes that are added later may hold this many descriptors, and are told so.
    void limit_descriptors(std::size_t most) { max_descriptors_ = most; }

    /// Its result is the first line of NAME.out in folder().
    child_process start_caller(const std::vector<std::string>& flags, const std::string& name = "caller");

    /// Output of `whctl explain` over the logs of all nodes.
    std::string explain(const std::string& id);

    static std::string key() { return "demo-key-cafe-0000000000000000000000000001"; }
    const std::string& folder() const { return folder_; }
    const std::string& store() const { return store_address_; }
    std::string settings_text(const machine& m) const;

private:
    std::string folder_;
    std::string network_; ///< First three parts of the machines' addresses.
    std::string store_address_;
    std::map<std::string, std::string> store_of_; ///< By machine, if not the store's own address.
    std::vector<child_process> store_;
    std::map<std::string, machine> machines_;
    int last_host_ = 0;
    std::size_t max_descriptors_ = 0; ///< Of a node; 0: not limited.
};

/// Services front -> back, a route for each, an order route, and one workspace.
configuration example_config(std::uint64_t version);

} // namespace wagtailhatch::testing
