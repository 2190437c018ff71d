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

/// Sends one request to address ("IP:PORT") and blocks until it completes or fails. Throws std::runtime_error
/// if no HTTP client can be created.
http_result send(const std::string& address, http_request request,
                 std::chrono::milliseconds timeout = std::chrono::seconds{5});

/// Value of a response header; empty if absent.
std::string header(const http_result& r, const std::string& name);

/// Polls until condition holds; returns false after limit. Limits are generous: they only end a test that
/// hangs.
bool eventually(const std::function<bool()>& condition,
                std::chrono::milliseconds limit = std::chrono::seconds{30});

/// Runs a store, nodes and targets as processes. Each machine has its own loopback address, so that several
/// deployments can run concurrently on the same ports.
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

    /// Writes config to the store as the operators' configuration, together with key(), the API key of
    /// workspace `cafe`. Throws std::runtime_error if the store does not accept it.
    void configure(const configuration& config);

    /// Writes or removes the row that evacuates a data centre. Throws std::runtime_error if the store does
    /// not accept it.
    void evacuate(const std::string& data_centre, bool evacuated);

    /// Starts a node and its target; extra holds additional flags of the target.
    machine& add(const std::string& name, const std::string& service, const std::string& zone,
                 std::vector<std::string> extra = {});
    machine& at(const std::string& name) { return machines_.at(name); }

    /// Starts the node of m and does not wait until it is ready.
    void start_node(machine& m);

    /// Starts the target of m with a new instance id and waits, for at most 30 s, until it accepts
    /// connections; extra holds additional flags.
    void start_target(machine& m, std::vector<std::string> extra);

    /// Waits until every node has a configuration and knows who allocates rates, its target is ready and it
    /// sees every other instance as ready; false after 30 s.
    bool wait_until_serving();

    /// Sends a request to the caller listener of a machine. limit is the deadline of the request; no
    /// Authorization header is sent if key_sent is empty.
    http_result request(const machine& m, const std::string& method, const std::string& path,
                        const std::string& id, const std::string& key_sent = key(),
                        std::chrono::milliseconds limit = std::chrono::seconds{3});

    /// Responses of the node's /status and the target's /ledger; not a JSON object if there is no valid
    /// answer within 2 s.
    nlohmann::json status(const machine& m) const;
    nlohmann::json ledger(const machine& m) const;

    /// Highest number of executions of any request id, summed over all targets.
    std::uint64_t max_runs_per_id();

    /// Replaces the faults that the store injects (standin::store_faults); an empty object clears them.
    void set_store_faults(const nlohmann::json& faults);

    /// Number of nodes whose rows the store holds.
    std::size_t nodes_in_store() const;

    /// Sets the store address for a machine that is added later.
    void set_store_address(const std::string& machine, const std::string& address)
    {
        store_addresses_[machine] = address;
    }

    /// Sets the regions of data centres in the settings of nodes that are started later.
    void set_regions(std::map<std::string, std::string> regions) { regions_ = std::move(regions); }

    /// Limits the file descriptors of nodes that are added later, by RLIMIT_NOFILE and in their settings.
    void set_max_descriptors(std::size_t most) { max_descriptors_ = most; }

    /// Starts standin-caller, which writes its result as the first line of NAME.out in folder().
    child_process start_caller(const std::vector<std::string>& flags, const std::string& name = "caller");

    /// Output of `whctl explain` for a request id over the logs of all nodes.
    std::string explain(const std::string& id);

    static std::string key() { return "demo-key-cafe-0000000000000000000000000001"; }
    const std::string& folder() const { return folder_; }
    const std::string& store() const { return store_address_; }
    std::string settings_text(const machine& m) const;

private:
    std::string folder_;
    std::string network_; ///< First three octets of the machines' addresses, with the final dot.
    std::string store_address_;
    std::map<std::string, std::string> store_addresses_; ///< By machine name; others use store_address_.
    std::vector<child_process> store_;
    std::map<std::string, machine> machines_;
    std::map<std::string, std::string> regions_; ///< By data centre.
    int last_machine_ = 0;
    std::size_t max_descriptors_ = 0; ///< Per node; 0 means unlimited.
};

/// Sends a heartbeat to the node of m for a ready target at its target address, in place of the target's own.
/// sequence: increases with each heartbeat of the instance.
void send_heartbeat(const deployment::machine& m, const std::string& instance, std::uint64_t sequence);

/// Services front and back with one route each, a non-idempotent order route to front, and one workspace.
configuration example_config(std::uint64_t version);

} // namespace wagtailhatch::testing
