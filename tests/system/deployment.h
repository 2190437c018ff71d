#pragma once

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

/// A platform, nodes and targets as processes on loopback.
class deployment {
public:
    deployment();
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    struct instance {
        std::string id;
        std::string service;
        std::string callers;
        std::string local;
        std::string admin;
        std::string peers;
        child_process node;
        std::vector<child_process> targets;
    };

    /// Puts a base file into force; the version.
    std::uint64_t accept(const std::string& base);

    /// Starts a node and its target; extra are flags of the target.
    instance& add(const std::string& service, const std::string& data_centre, const std::string& name,
                  std::vector<std::string> extra = {});
    instance& at(const std::string& id) { return instances_.at(id); }

    /// Starts the node program of an instance again, under the same settings.
    void restart_node(const std::string& id);
    void start_target(instance& i, std::vector<std::string> extra);

    /// Waits until all nodes run the version and see each service with the number of usable instances.
    bool serving(std::uint64_t version);

    nlohmann::json status(const instance& i) const;
    nlohmann::json ledger(instance& i, std::size_t target = 0) const;

    /// Runs of an order summed over all targets of a service.
    std::uint64_t runs(const std::string& service, const std::string& order);

    void control_platform(const nlohmann::json& faults);
    child_process start_caller(const std::vector<std::string>& flags);
    static std::string key() { return "demo-key-cafe-0000000000000000000000000001"; }
    std::string folder() const { return folder_; }
    const std::string& platform() const { return platform_address_; }

private:
    void write_settings(const std::string& id, const std::string& service, const std::string& data_centre,
                        const std::string& listen);
    void read_ports(instance& i);

    std::string folder_;
    std::string platform_address_;
    std::vector<child_process> platform_;
    std::map<std::string, instance> instances_;
    std::string seed_peer_;
    std::uint64_t version_ = 0;
};

/// A base file with services front -> store, one workspace and the given lines added to its key list.
std::string example_base(const std::string& extra_keys = {}, const std::string& rate = "5000");

} // namespace wagtailhatch::testing
