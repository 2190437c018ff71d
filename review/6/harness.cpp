#include "harness.h"

#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {
namespace {

std::string lower(std::string s)
{
    for (auto& c : s) {
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
    return s;
}

std::uint64_t unix_ms()
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                          std::chrono::system_clock::now().time_since_epoch())
                                          .count());
}

void closes_socket(tcp::socket& s)
{
    std::error_code ignored;
    s.close(ignored);
}

} // namespace

std::string message::header(const std::string& name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string{} : found->second;
}

awaitable<void> sleep_for(clock::duration d)
{
    asio::steady_timer timer{co_await asio::this_coro::executor, d};
    std::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

awaitable<bool> connection::fill()
{
    char bytes[16384];
    std::error_code ec;
    const auto n =
        co_await socket.async_read_some(asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, ec));
    buffer_.append(bytes, n);
    co_return !ec && n > 0;
}

awaitable<std::optional<message>> connection::read()
{
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
        if (!co_await fill()) {
            co_return std::nullopt;
        }
    }
    message m;
    const auto head = buffer_.substr(0, end);
    buffer_.erase(0, end + 4);
    const auto first = head.substr(0, head.find("\r\n"));
    if (first.rfind("HTTP/1.1 ", 0) == 0) {
        m.status = std::atoi(first.c_str() + 9);
    }
    else {
        const auto a = first.find(' ');
        const auto b = first.rfind(' ');
        if (a == std::string::npos || b <= a) {
            co_return std::nullopt;
        }
        m.method = first.substr(0, a);
        m.target = first.substr(a + 1, b - a - 1);
    }
    for (std::size_t at = first.size(); at < head.size();) {
        at += 2;
        const auto stop = std::min(head.find("\r\n", at), head.size());
        const auto line = head.substr(at, stop - at);
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            const auto begin = line.find_first_not_of(' ', colon + 1);
            m.headers[lower(line.substr(0, colon))] = begin == std::string::npos ? "" : line.substr(begin);
        }
        at = stop;
    }
    if (lower(m.header("transfer-encoding")) == "chunked") {
        for (;;) {
            std::size_t line = 0;
            while ((line = buffer_.find("\r\n")) == std::string::npos) {
                if (!co_await fill()) {
                    co_return std::nullopt;
                }
            }
            const auto size = std::strtoull(buffer_.c_str(), nullptr, 16);
            while (buffer_.size() < line + 2 + size + 2) {
                if (!co_await fill()) {
                    co_return std::nullopt;
                }
            }
            m.body += buffer_.substr(line + 2, size);
            buffer_.erase(0, line + 2 + size + 2);
            if (size == 0) {
                co_return m;
            }
        }
    }
    const auto size = std::strtoull(m.header("content-length").c_str(), nullptr, 10);
    while (buffer_.size() < size) {
        if (!co_await fill()) {
            co_return std::nullopt;
        }
    }
    m.body = buffer_.substr(0, size);
    buffer_.erase(0, size);
    co_return m;
}

awaitable<bool> connection::write(std::string bytes)
{
    std::error_code ec;
    co_await asio::async_write(socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, ec));
    co_return !ec;
}

void connection::close()
{
    closes_socket(socket);
}

awaitable<std::shared_ptr<connection>> connect_to(std::string ip, unsigned short port, clock::duration limit)
{
    const auto executor = co_await asio::this_coro::executor;
    auto c = std::make_shared<connection>(tcp::socket{executor});
    asio::steady_timer timer{executor, limit};
    timer.async_wait([weak = std::weak_ptr{c}](const std::error_code& ec) {
        const auto locked = weak.lock();
        if (!ec && locked) {
            locked->close();
        }
    });
    std::error_code ec;
    co_await c->socket.async_connect({asio::ip::make_address(ip), port},
                                     asio::redirect_error(asio::use_awaitable, ec));
    timer.cancel();
    if (ec || !c->socket.is_open()) {
        co_return nullptr;
    }
    c->socket.set_option(tcp::no_delay{true}, ec);
    co_return c;
}

awaitable<message> send_once(std::string ip, unsigned short port, std::string bytes, clock::duration limit)
{
    const auto c = co_await connect_to(ip, port, limit);
    if (!c) {
        co_return message{};
    }
    asio::steady_timer timer{co_await asio::this_coro::executor, limit};
    timer.async_wait([weak = std::weak_ptr{c}](const std::error_code& ec) {
        const auto locked = weak.lock();
        if (!ec && locked) {
            locked->close();
        }
    });
    if (!co_await c->write(std::move(bytes))) {
        co_return message{};
    }
    const auto answer = co_await c->read();
    timer.cancel();
    c->close();
    co_return answer.value_or(message{});
}

std::string make_request(const std::string& method, const std::string& host, const std::string& path,
                         const header_map& headers, const std::string& body)
{
    std::string out = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n";
    for (const auto& [name, value] : headers) {
        out += name + ": " + value + "\r\n";
    }
    if (!body.empty() || method == "POST" || method == "PUT") {
        out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return out + "\r\n" + body;
}

server::server(deployment& d, std::string s, int machine, int n)
    : service{std::move(s)}
    , slots{n}
    , d_{d}
    , acceptor_{d.io}
{
    ip = d.ip(machine);
    id = "i-" + service + "-" + std::to_string(machine);
    born = unix_ms();
}

void server::start()
{
    const tcp::endpoint at{asio::ip::make_address(ip), deployment::app};
    acceptor_.open(at.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address{true});
    acceptor_.bind(at);
    acceptor_.listen();
    beating_ = true;
    asio::co_spawn(d_.io, accept(), asio::detached);
    asio::co_spawn(d_.io, beat(), asio::detached);
}

awaitable<void> server::accept()
{
    for (;;) {
        std::error_code ec;
        auto s = co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, ec));
        if (ec) {
            co_return;
        }
        s.set_option(tcp::no_delay{true}, ec);
        asio::co_spawn(d_.io, serve(std::make_shared<connection>(std::move(s))), asio::detached);
    }
}

std::string server::beat_body(const char* state)
{
    return nlohmann::json{{"Service", service}, {"Address", ip + ":" + std::to_string(deployment::app)},
                          {"Zone", "zone-a"},   {"Version", "v1"},
                          {"Slots", slots},     {"State", state},
                          {"ColdLeftS", 0},     {"Sequence", ++sequence},
                          {"born", born}}
        .dump();
}

std::string server::beat_request(const char* state)
{
    header_map headers;
    headers["Content-Type"] = "application/json";
    return make_request("PUT", ip, "/api/instances/" + id, headers, beat_body(state));
}

awaitable<void> server::beat()
{
    while (beating_) {
        co_await send_once(ip, deployment::control, beat_request("ready"), 1s);
        co_await sleep_for(500ms);
    }
}

awaitable<void> server::serve(std::shared_ptr<connection> c)
{
    std::string late_copy;
    for (;;) {
        auto m = co_await c->read();
        if (!m) {
            break;
        }
        // The late copy of the last answer stands where the answer to this request is expected.
        if (!late_copy.empty() && !co_await c->write(std::exchange(late_copy, {}))) {
            break;
        }
        if (!co_await handle(c, std::move(*m), late_copy)) {
            break;
        }
    }
    c->close();
}

std::string server::answer(int status, const std::string& request_id, bool executed, std::size_t size)
{
    std::string out = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    out += "X-Wagtailhatch-Hatch-Instance: " + id + "\r\n";
    if (!request_id.empty()) {
        out += "X-Wagtailhatch-Hatch-Request-Id: " + request_id + "\r\n";
    }
    out += "X-Wagtailhatch-Hatch-Load: " + std::to_string(running) + ",0," + std::to_string(slots) +
           load_extra + "\r\n";
    if (executed) {
        out += "X-Wagtailhatch-Hatch-Signature: " + id + "." + request_id + "\r\n";
    }
    else if (!request_id.empty()) {
        out += "X-Wagtailhatch-Hatch-Not-Executed: 1\r\n";
    }
    if (leaving) {
        out += "Connection: close\r\n";
    }
    out += "Content-Length: " + std::to_string(size) + "\r\n\r\n";
    return out + std::string(size, 'x');
}

awaitable<bool> server::handle(std::shared_ptr<connection> c, message m, std::string& late_copy)
{
    if (m.target == "/healthz") {
        co_return co_await c->write(answer(leaving ? 503 : 200, {}, false, 0)) && !leaving;
    }
    const work w{m.header("x-wagtailhatch-hatch-request-id"), m.method, m.target, m.method == "GET"};
    ++arrivals;
    arrived.insert(w.id);
    const auto expected = m.header("x-wagtailhatch-hatch-expect-instance");
    if (!expected.empty() && expected != id) {
        co_return co_await c->write(answer(421, w.id, false, 0));
    }
    if (sheds(w) || running >= slots) {
        const auto refusal = answer(503, w.id, false, 0);
        if (repeats_answer(w)) {
            late_copy = refusal;
            d_.record("server " + id + ": the refusal of " + w.id + " will be repeated late");
        }
        co_return co_await c->write(refusal);
    }
    const auto now = clock::now();
    ++runs_of[w.id];
    d_.runs.push_back({w.id, m.header("x-wagtailhatch-hatch-tenant"), id, now});
    ++running;
    const auto limit = std::strtoll(m.header("x-wagtailhatch-hatch-deadline-ms").c_str(), nullptr, 10);
    const auto deadline = limit > 0 ? now + std::chrono::milliseconds{limit} : now + 60s;
    const auto needed = work_time(w);
    const bool lost = loses_answer(w);
    const bool late = now + needed > deadline;
    co_await sleep_for(std::min(needed, deadline - now));
    --running;
    if (lost) {
        co_return true;
    }
    if (late) {
        co_return co_await c->write(answer(504, w.id, true, 0));
    }
    auto bytes = answer(200, w.id, true, answer_size(w));
    if (breaks_off(w)) {
        bytes.resize(bytes.size() / 2);
        co_await c->write(std::move(bytes));
        co_return false;
    }
    if (repeats_answer(w)) {
        late_copy = bytes;
    }
    const bool written = co_await c->write(std::move(bytes));
    co_return written && !leaving;
}

deployment::deployment(int argc, char** argv)
    : random{std::random_device{}()}
{
    directory_ = argc > 1 ? argv[1] : ".";
    const char* t = std::getenv("TROUBLE");
    trouble = t == nullptr || std::string{t} != "0";
    auto name = (std::filesystem::temp_directory_path() / "review-2-XXXXXX").string();
    temporary_ = mkdtemp(name.data());
    record_ = std::fopen((directory_ + "/record.txt").c_str(), "w");
    network_ = "127." + std::to_string(1 + random() % 250) + "." + std::to_string(1 + random() % 250) + ".";
    id_prefix_ = std::to_string(random() % 1000000);
    signal(SIGPIPE, SIG_IGN);
}

deployment::~deployment()
{
    stop_all();
    if (record_ != nullptr) {
        std::fclose(record_);
    }
    std::error_code ignored;
    if (std::getenv("KEEP") == nullptr) {
        std::filesystem::remove_all(temporary_, ignored);
    }
    else {
        std::cerr << temporary_ << '\n';
    }
}

double deployment::seconds() const
{
    return std::chrono::duration<double>(clock::now() - begun_).count();
}

void deployment::record(const std::string& line)
{
    if (record_ != nullptr) {
        std::fprintf(record_, "%8.3f %s\n", seconds(), line.c_str());
    }
}

std::string deployment::next_id()
{
    return "r" + id_prefix_ + "-" + std::to_string(++last_id_);
}

server& deployment::add_server(const std::string& service, int slots)
{
    servers.push_back(std::make_unique<server>(*this, service, static_cast<int>(servers.size()) + 1, slots));
    return *servers.back();
}

std::string deployment::config_document() const
{
    using json = nlohmann::json;
    json rows = json::array();
    for (const auto& r : routes) {
        rows.push_back({r.name, host(), r.prefix, r.kind, r.timeout_s, r.target_latency_s, r.priority,
                        r.attempts, r.anonymous, r.service});
    }
    json services = json::array();
    std::set<std::string> names;
    for (const auto& s : servers) {
        if (names.insert(s->service).second) {
            services.push_back({s->service, "/healthz", 600});
        }
    }
    json keys = json::array();
    for (const auto& t : tenants) {
        keys.push_back({t.name, json::array({t.key}), 1, t.rate, t.burst});
    }
    json root;
    root["Version"] = "00000001";
    root["Routes"] = {{"Columns",
                       {"Name", "Host", "Prefix", "RouteType", "TimeoutS", "TargetLatencyS", "Priority",
                        "MaxAttempts", "AllowAnonymous", "Service"}},
                      {"Rows", rows}};
    root["Services"] = {{"Columns", {"Name", "HealthPath", "MaxConnections"}}, {"Rows", services}};
    if (!tenants.empty()) {
        root["Tenants"] = {{"Columns", {"Name", "ApiKeys", "Priority", "RatePerS", "Burst"}}, {"Rows", keys}};
    }
    root["Limits"] = {
        {"MaxHeaderBytes", 16384}, {"MaxBodyBytes", 1048576}, {"HeaderTimeoutS", 5}, {"IdleTimeoutS", 30}};
    return root.dump();
}

std::string deployment::boot_file(int machine) const
{
    const auto& s = *servers.at(static_cast<std::size_t>(machine) - 1);
    const auto at = [&](unsigned short port) { return "\"" + s.ip + ":" + std::to_string(port) + "\"\n"; };
    return "NodeName: \"sidecar-zone-a-" + std::to_string(machine) + "\"\nRole: \"node\"\n" +
           "MachineClass: \"sidecar\"\nServes:\n  - \"sidecar\"\nIp: \"" + s.ip + "\"\nZone: \"zone-a\"\n" +
           "Region: \"region-a\"\nZones:\n  zone-a: \"region-a\"\nListenAddrs:\n  Inbound: " + at(inbound) +
           "  Outbound: " + at(outbound) + "  Ready: " + at(ready) + "  Control: " + at(control) +
           "PortRange:\n  - 7000\n  - 7015\nSeeds: []\nBootstrap: true\nLimits:\n  CpuShare: 0.4\n" +
           "  Cores: 1\n  MemoryMb: 260\n  MaxFds: 4100\nHeartbeatS: 1.5\nBounds:\n  AddrReuseS: 2\n" +
           "  ContactS: 3\n  DrainS: 2\n  GraceS: 6\n  ConfigApplyS: 2\n  RetryBudgetRatio: 0.2\n" +
           "  BudgetWindowS: 10\n  BudgetSlack: 48\n  QuotaWindowS: 5\n  QuotaOverage: 0.1\n" +
           "  QuotaSlack: 20\nAppAddr: " + at(app) + "Service: \"" + s.service +
           "\"\nPlatform:\n  Address: \"127.0.0.1:" + std::to_string(store_port_) +
           "\"\n  form: \"table\"\n" + "  WritesPerS: 400\n  ReadsPerS: 2000\n";
}

int deployment::spawn(const std::vector<std::string>& args, const std::string& log, const std::string& boot)
{
    const int pid = fork();
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL); // Nothing outlives this process, however it ends.
        const int out = open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
        dup2(out, 1);
        dup2(out, 2);
        for (int fd = 3; fd < 4096; ++fd) {
            close(fd);
        }
        if (!boot.empty()) {
            setenv("WAGTAILHATCH_BOOT", boot.c_str(), 1);
        }
        std::vector<char*> argv;
        for (const auto& a : args) {
            argv.push_back(const_cast<char*>(a.c_str()));
        }
        argv.push_back(nullptr);
        execv(argv[0], argv.data());
        _exit(127);
    }
    pids_.push_back(pid);
    return pid;
}

void deployment::start_node(int machine)
{
    const auto boot = temporary_ + "/boot-" + std::to_string(machine) + ".yaml";
    std::ofstream{boot} << boot_file(machine);
    node_pids_[machine] = spawn({"target/wagtailhatch-node", "--metrics_port=7015"},
                                temporary_ + "/node-" + std::to_string(machine) + ".log", boot);
}

bool deployment::node_running(int machine)
{
    return waitpid(node_pids_.at(machine), nullptr, WNOHANG) == 0;
}

void deployment::kill_node(int machine, int sig)
{
    const int pid = node_pids_.at(machine);
    kill(pid, sig);
    if (sig == SIGKILL) {
        waitpid(pid, nullptr, 0);
    }
    record("node " + std::to_string(machine) + " gets signal " + std::to_string(sig));
}

awaitable<bool> deployment::wait_ready(int machine, clock::duration limit)
{
    const auto end = clock::now() + limit;
    while (clock::now() < end) {
        const auto m = co_await send_once(ip(machine), ready,
                                          make_request("GET", ip(machine), "/api/readyz", {}, {}), 500ms);
        if (m.status == 200) {
            co_return true;
        }
        co_await sleep_for(50ms);
    }
    co_return false;
}

awaitable<void> deployment::store_control(nlohmann::json faults)
{
    record("store: " + faults.dump());
    co_await send_once("127.0.0.1", store_port_, make_request("POST", "store", "/control", {}, faults.dump()),
                       1s);
}

awaitable<bool> deployment::start()
{
    const auto config = temporary_ + "/config.json";
    std::ofstream{config} << config_document();
    const auto log = temporary_ + "/store.log";
    spawn({"target/review-2/standin-platform", "--config", config}, log, {});
    for (int i = 0; i < 100 && store_port_ == 0; ++i) {
        co_await sleep_for(50ms);
        std::ifstream in{log};
        std::string line;
        while (std::getline(in, line)) {
            if (line.rfind("ready port=", 0) == 0) {
                store_port_ = static_cast<unsigned short>(std::atoi(line.c_str() + 11));
            }
        }
    }
    if (store_port_ == 0) {
        co_return false;
    }
    for (std::size_t i = 1; i <= servers.size(); ++i) {
        servers[i - 1]->start();
        start_node(static_cast<int>(i));
    }
    for (std::size_t i = 1; i <= servers.size(); ++i) {
        if (!co_await wait_ready(static_cast<int>(i), 15s)) {
            co_return false;
        }
    }
    // All nodes have links to one another and know the servers.
    co_await sleep_for(3s);
    record("deployment ready");
    co_return true;
}

void deployment::stop_all()
{
    for (const int pid : pids_) {
        kill(pid, SIGCONT);
        kill(pid, SIGKILL);
        waitpid(pid, nullptr, 0);
    }
    pids_.clear();
}

int deployment::run(std::function<awaitable<int>()> body)
{
    int result = exit_not_run;
    asio::co_spawn(
        io,
        [&]() -> awaitable<void> {
            if (access("target/wagtailhatch-node", X_OK) == 0 && co_await start()) {
                result = co_await body();
            }
            io.stop();
        },
        [](const std::exception_ptr& e) {
            if (e) {
                std::rethrow_exception(e);
            }
        });
    asio::steady_timer limit{io, 115s};
    limit.async_wait([&](const std::error_code&) { io.stop(); });
    try {
        io.run();
    }
    catch (const std::exception& e) {
        std::cerr << e.what() << '\n';
        result = exit_not_run;
    }
    stop_all();
    record("exit " + std::to_string(result));
    return result;
}

} // namespace review
