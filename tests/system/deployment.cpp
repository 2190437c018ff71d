#include "tests/system/deployment.h"

#include "include/config/config_store.h"
#include "include/platform/http_object_store.h"
#include "include/platform/http_table_service.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <random>
#include <stdexcept>
#include <thread>

namespace wagtailhatch::testing {
namespace {

std::string program(const std::string& name)
{
    return std::string{WH_BINARY_DIR} + "/" + name;
}

// Of each data centre; the default of the base file.
constexpr std::size_t slots = 8;

std::string make_folder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "wh-test-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("cannot create a folder");
    }
    return pattern;
}

} // namespace

http_result send(const std::string& address, http_request request, std::chrono::milliseconds timeout)
{
    asio::io_context io{1};
    auto client = make_http_client(io, {});
    if (!client) {
        throw std::runtime_error(client.failure().message());
    }
    http_result out;
    bool done = false;
    (*client)->start({address, std::move(request), timeout, true}, [&](http_result r) {
        out = std::move(r);
        done = true;
    });
    while (!done) {
        io.run_one();
    }
    return out;
}

std::string header(const http_result& r, const std::string& name)
{
    const auto* value = find_header(r.response.headers, name);
    return value == nullptr ? std::string{} : *value;
}

bool eventually(const std::function<bool()>& condition, std::chrono::milliseconds limit)
{
    const auto until = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= until) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{50});
    }
    return true;
}

deployment::deployment()
    : folder_{make_folder()}
{
    platform_.emplace_back("platform", folder_,
                           std::vector<std::string>{program("standin-platform"), "--port=0"});
    platform_address_ = "127.0.0.1:" + platform_.front().ready_field("port");
}

deployment::~deployment()
{
    instances_.clear();
    platform_.clear();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

std::uint64_t deployment::accept(const std::string& base)
{
    asio::io_context io{1};
    auto client = make_http_client(io, {});
    const auto table = make_http_table_service(**client, platform_address_);
    const auto objects = make_http_object_store(**client, platform_address_);
    config_store store{*table, *objects};
    accept_request request;
    request.documents.push_back({"base", "base.yaml", with_made_on(base, version_)});
    request.author = "test";
    request.id = std::to_string(std::random_device{}());
    accept_outcome outcome;
    bool done = false;
    store.accept(request, [&](accept_outcome o) {
        outcome = std::move(o);
        done = true;
    });
    while (!done) {
        io.run_one();
    }
    if (outcome.status != accept_status::accepted) {
        throw std::runtime_error("not accepted: " + outcome.detail + to_string(outcome.findings));
    }
    version_ = outcome.version;
    return version_;
}

void deployment::write_settings(const std::string& id, const std::string& service,
                                const std::string& data_centre, const std::string& listen)
{
    std::ofstream out{folder_ + "/" + id + ".yaml"};
    out << "instance: " << id << "\ndata_centre: " << data_centre << "\nservice: " << service
        << "\nplatform: \"" << platform_address_ << "\"\npeers: \"" << listen << "\"\n"
        << "peer_secret: \"0123456789abcdef0123456789abcdef\"\ndrain_timeout: 20s\n";
    if (!seed_peer_.empty()) {
        out << "seeds: [\"" << seed_peer_ << "\"]\n";
    }
}

void deployment::read_ports(instance& i)
{
    i.callers = i.node.ready_field("callers");
    i.local = i.node.ready_field("local");
    i.admin = i.node.ready_field("admin");
    i.peers = i.node.ready_field("peers");
    if (i.callers.empty()) {
        throw std::runtime_error("node " + i.id + " did not start: " + i.node.log());
    }
}

deployment::instance& deployment::add(const std::string& service, const std::string& data_centre,
                                      const std::string& name, std::vector<std::string> extra)
{
    write_settings(name, service, data_centre, "127.0.0.1:0");
    child_process node{"node-" + name,
                       folder_,
                       {program("wagtailhatch-node"), "--settings", folder_ + "/" + name + ".yaml"}};
    auto& i =
        instances_.emplace(name, instance{name, service, {}, {}, {}, {}, std::move(node), {}}).first->second;
    read_ports(i);
    // A later restart comes back under the same peer address.
    write_settings(name, service, data_centre, i.peers);
    if (seed_peer_.empty()) {
        seed_peer_ = i.peers;
    }
    start_target(i, std::move(extra));
    return i;
}

void deployment::start_target(instance& i, std::vector<std::string> extra)
{
    std::vector<std::string> command{program("standin-target"), "--service=" + i.service,
                                     "--node=" + i.local,       "--slots=20",
                                     "--service_time_us=300",   "--forbidden=" + key()};
    command.insert(command.end(), extra.begin(), extra.end());
    i.targets.emplace_back("target-" + i.id + "-" + std::to_string(i.targets.size()), folder_, command);
}

void deployment::restart_node(const std::string& id)
{
    auto& i = at(id);
    i.node.signal(SIGKILL);
    i.node.wait_exit(std::chrono::seconds{10});
    i.node = child_process{
        "node-" + id, folder_, {program("wagtailhatch-node"), "--settings", folder_ + "/" + id + ".yaml"}};
    read_ports(i);
}

nlohmann::json deployment::status(const instance& i) const
{
    const auto r = send(i.admin, {"GET", "/status", {}, {}}, std::chrono::seconds{2});
    return r.ok ? nlohmann::json::parse(r.response.body, nullptr, false) : nlohmann::json{};
}

nlohmann::json deployment::ledger(instance& i, std::size_t target) const
{
    const auto port = i.targets.at(target).ready_field("port");
    const auto r = send("127.0.0.1:" + port, {"GET", "/ledger", {}, {}}, std::chrono::seconds{2});
    return r.ok ? nlohmann::json::parse(r.response.body, nullptr, false) : nlohmann::json{};
}

std::uint64_t deployment::runs(const std::string& service, const std::string& order)
{
    std::uint64_t sum = 0;
    for (auto& [id, i] : instances_) {
        for (std::size_t t = 0; i.service == service && t < i.targets.size(); ++t) {
            const auto seen = i.targets[t].running() ? ledger(i, t) : nlohmann::json{};
            if (seen.contains("orders") && seen["orders"].contains(order)) {
                sum += seen["orders"][order].get<std::uint64_t>();
            }
        }
    }
    return sum;
}

bool deployment::serving(std::uint64_t version)
{
    std::map<std::string, std::size_t> expected;
    for (const auto& [id, i] : instances_) {
        ++expected[i.service];
    }
    return eventually([&] {
        std::map<std::string, std::size_t> owned;
        for (const auto& [id, i] : instances_) {
            const auto s = status(i);
            if (!s.is_object() || s.value("version", std::uint64_t{0}) < version || !s.contains("usable")) {
                return false;
            }
            for (const auto& [service, count] : expected) {
                if (s["usable"].value(service, std::size_t{0}) < count) {
                    return false;
                }
            }
            if (s.contains("slots")) {
                owned[s.value("data_centre", "")] += s["slots"]["owned"].size();
            }
        }
        return std::all_of(owned.begin(), owned.end(), [](const auto& o) { return o.second == slots; });
    });
}

void deployment::control_platform(const nlohmann::json& faults)
{
    send(platform_address_, {"POST", "/control", {{"Content-Type", "application/json"}}, faults.dump()});
}

child_process deployment::start_caller(const std::vector<std::string>& flags)
{
    std::ofstream{folder_ + "/keys"} << "cafe " << key() << "\n";
    std::vector<std::string> command{program("standin-caller"), "--keys_file=" + folder_ + "/keys"};
    command.insert(command.end(), flags.begin(), flags.end());
    return {"caller", folder_, command};
}

std::string example_base(const std::string& extra_keys, const std::string& rate)
{
    return R"(made_on: 0
data_centres:
  north: {weight: 1}
  south: {weight: 1}
services:
  front: {calls: [store], slots: 20}
  store: {slots: 20}
workspaces:
  cafe:
    rate: )" +
           rate +
           R"(
    burst: )" +
           rate + R"(
    home: north
    keys:
      - sha256: 2cb6647bf16b9f46a84a18c4eb0d6b7b00ef85acb9f10a6e6239683d23c973ca
)" + extra_keys +
           R"(routes:
  front: {path: /front, service: front, timeout: 2s}
  store: {path: /store, service: store, timeout: 2s}
  orders: {path: /orders, method: POST, service: front, run_once: true, importance: critical, timeout: 3s}
  public: {path: /public, service: store, open: true}
)";
}

} // namespace wagtailhatch::testing
