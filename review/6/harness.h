#pragma once

// Small deployment on loopback for the review's scripts: the project's store stand-in and nodes as separate
// processes, servers and clients in this process. Every simulated machine has a loopback address of its own.

#include <asio/awaitable.hpp>
#include <asio/co_spawn.hpp>
#include <asio/connect.hpp>
#include <asio/detached.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/redirect_error.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace review {

using asio::awaitable;
using asio::ip::tcp;
using namespace std::chrono_literals;
using clock = std::chrono::steady_clock;

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;

/// Headers with names in lower case.
using header_map = std::map<std::string, std::string>;

struct message {
    std::string method; ///< Requests only.
    std::string target; ///< Requests only.
    int status = 0;     ///< Responses only.
    header_map headers;
    std::string body;
    std::string header(const std::string& name) const;
};

/// Connection that reads whole HTTP/1.1 messages. Chunked bodies are decoded.
class connection {
public:
    explicit connection(tcp::socket s)
        : socket{std::move(s)}
    {
    }
    tcp::socket socket;
    /// Next message; nothing if the connection ends first or sends anything that is not one.
    awaitable<std::optional<message>> read();
    awaitable<bool> write(std::string bytes);
    void close();

private:
    awaitable<bool> fill();
    std::string buffer_;
};

awaitable<std::shared_ptr<connection>> connect_to(std::string ip, unsigned short port,
                                                  clock::duration limit = 1s);
awaitable<void> sleep_for(clock::duration d);

/// Sends a request on a connection of its own. Status 0: no complete answer.
awaitable<message> send_once(std::string ip, unsigned short port, std::string bytes, clock::duration limit);

std::string make_request(const std::string& method, const std::string& host, const std::string& path,
                         const header_map& headers, const std::string& body);

struct route {
    std::string name, prefix, kind, service;
    double timeout_s = 2, target_latency_s = 1;
    int priority = 1, attempts = 3;
    bool anonymous = true;
};

struct tenant {
    std::string name, key;
    double rate = 0, burst = 0;
};

struct server_run {
    std::string id, tenant, server;
    clock::time_point at;
};

class deployment;

/// Server stand-in beside one node, by the users' protocol page.
class server {
public:
    struct work {
        std::string id, method, path;
        bool idempotent = true;
    };
    server(deployment& d, std::string service, int machine, int slots);

    void start(); ///< Listens and begins heartbeats.
    void stop_heartbeats() { beating_ = false; }

    // What a case may set.
    std::function<clock::duration(const work&)> work_time = [](const work&) { return 20ms; };
    std::function<std::size_t(const work&)> answer_size = [](const work&) { return std::size_t{200}; };
    std::function<bool(const work&)> sheds = [](const work&) { return false; };
    /// A second copy of the answer follows late, where the next answer on the connection is expected.
    std::function<bool(const work&)> repeats_answer = [](const work&) { return false; };
    std::function<bool(const work&)> breaks_off = [](const work&) { return false; };
    /// The request runs and nothing is answered; the connection stays open.
    std::function<bool(const work&)> loses_answer = [](const work&) { return false; };
    std::string load_extra; ///< Further figures of the load header.
    bool leaving = false;   ///< Answers carry `Connection: close`, the health check 503.

    std::string id, service, ip;
    int slots, running = 0;
    long arrivals = 0;
    std::uint64_t born = 0, sequence = 0;
    std::map<std::string, int> runs_of; ///< By request id.
    std::set<std::string> arrived;      ///< Ids of requests that reached this server, run or not.
    std::string beat_request(const char* state);

private:
    std::string beat_body(const char* state);
    awaitable<void> accept();
    awaitable<void> serve(std::shared_ptr<connection> c);
    awaitable<bool> handle(std::shared_ptr<connection> c, message m, std::string& late_copy);
    awaitable<void> beat();
    std::string answer(int status, const std::string& request_id, bool executed, std::size_t size);

    deployment& d_;
    tcp::acceptor acceptor_;
    bool beating_ = false;
};

class deployment {
public:
    /// Directory: where record.txt is written.
    deployment(int argc, char** argv);
    ~deployment();

    asio::io_context io{1};
    bool trouble = true;
    std::vector<route> routes;
    std::vector<tenant> tenants;
    std::vector<server_run> runs;
    std::mt19937_64 random;
    double unit() { return std::uniform_real_distribution<double>{0, 1}(random); }

    static constexpr unsigned short outbound = 8548, inbound = 8543, ready = 8546, control = 8540, app = 8547;
    std::string ip(int machine) const { return network_ + std::to_string(machine); }
    std::string host() const { return "review.example"; }

    server& add_server(const std::string& service, int slots);
    /// Starts the store and all nodes and servers. False if that fails.
    awaitable<bool> start();
    void start_node(int machine);
    void kill_node(int machine, int signal);
    awaitable<bool> wait_ready(int machine, clock::duration limit);
    bool node_running(int machine);
    /// Sets what the store stand-in does wrong.
    awaitable<void> store_control(nlohmann::json faults);

    void record(const std::string& line);
    double seconds() const;
    std::string next_id();
    /// Runs the case and ends everything that was started.
    int run(std::function<awaitable<int>()> body);

    std::vector<std::unique_ptr<server>> servers; ///< Of machine 1, 2, ...

private:
    std::string config_document() const;
    std::string boot_file(int machine) const;
    int spawn(const std::vector<std::string>& args, const std::string& log, const std::string& boot);
    void stop_all();

    std::string directory_, temporary_, network_;
    std::FILE* record_ = nullptr;
    clock::time_point begun_ = clock::now();
    std::map<int, int> node_pids_;
    std::vector<int> pids_;
    unsigned short store_port_ = 0;
    std::uint64_t last_id_ = 0;
    std::string id_prefix_;
};

} // namespace review
