#include "bench/capacity/capacity_report.h"
#include "bench/capacity/config_fleet.h"
#include "bench/capacity/process_memory.h"
#include "include/http/http_client.h"
#include "include/platform/http_object_store.h"
#include "include/platform/http_table_service.h"
#include "tests/system/child_process.h"

#include <asio/io_context.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <cmath>
#include <filesystem>
#include <fstream>
#include <ostream>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <unistd.h>

namespace wagtailhatch::bench {
namespace {

using namespace std::chrono_literals;
using testing::child_process;

constexpr auto measured = 8s;
/// A node that knows its own group and five followed ones.
constexpr double known_nodes = 6 * two_year::group;

struct node_process {
    child_process process;
    std::string pid;
    std::string admin;
};

struct sample {
    double cpu_us = 0;
    double control_bytes = 0;
    double platform_reads = 0;
    double resident_mib = 0;
};

/// A platform and nodes of two services as processes on loopback, without targets.
class process_fleet {
public:
    process_fleet()
        : folder_{std::filesystem::temp_directory_path() / fmt::format("wh-capacity-{}", getpid())}
        , programs_{std::filesystem::read_symlink("/proc/self/exe").parent_path()}
    {
        std::filesystem::create_directories(folder_);
        platform_.emplace_back("platform", folder_.string(),
                               std::vector<std::string>{programs_ / "standin-platform", "--port=0"});
        platform_address_ = "127.0.0.1:" + platform_.front().ready_field("port");
        accept();
    }
    ~process_fleet()
    {
        nodes_.clear();
        platform_.clear();
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
    }
    process_fleet(const process_fleet&) = delete;
    process_fleet& operator=(const process_fleet&) = delete;

    bool grow(std::size_t count)
    {
        while (nodes_.size() < count) {
            if (!add()) {
                return false;
            }
        }
        return seconds_to_reach_all().has_value();
    }

    void accept()
    {
        asio::io_context io{1};
        const auto client = make_http_client(io, {});
        const auto table = make_http_table_service(**client, platform_address_);
        const auto objects = make_http_object_store(**client, platform_address_);
        config_store store{*table, *objects};
        accept_request request;
        request.documents.push_back(
            {"base", "base.yaml", with_made_on(capacity_base(2, 8, 2, version_), version_)});
        request.author = "capacity";
        request.id = fmt::format("{}-{}", getpid(), version_);
        bool done = false;
        store.accept(request, [&](const accept_outcome& o) {
            if (o.status == accept_status::accepted) {
                version_ = o.version;
            }
            done = true;
        });
        const auto before = version_;
        while (!done) {
            io.run_one();
        }
        if (version_ == before) {
            throw std::runtime_error("the benchmark's configuration was not accepted");
        }
    }

    /// Nothing after 20 s.
    std::optional<double> seconds_to_reach_all()
    {
        const auto start = std::chrono::steady_clock::now();
        for (std::size_t reached = 0; reached < nodes_.size();) {
            const auto elapsed = std::chrono::steady_clock::now() - start;
            if (elapsed > 20s) {
                return std::nullopt;
            }
            if (status(nodes_[reached]).value("version", std::uint64_t{0}) >= version_) {
                ++reached;
            }
            else {
                std::this_thread::sleep_for(10ms);
            }
        }
        return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
    }

    /// Sums over all nodes.
    sample take() const
    {
        sample s;
        for (const auto& n : nodes_) {
            const auto page = status(n);
            s.cpu_us += cpu_us(n.pid);
            s.control_bytes += page.value("control_bytes", 0.0);
            s.platform_reads += page.value("platform_reads", 0.0);
            s.resident_mib += status_kib(n.pid, "VmRSS") / 1024;
        }
        return s;
    }

private:
    bool add()
    {
        const auto i = nodes_.size();
        const auto file = (folder_ / fmt::format("node-{}.yaml", i)).string();
        std::ofstream{file} << "instance: node-" << i << "\ndata_centre: dc-" << i % 2
                            << "\nservice: service-" << i / 2 % 2 << "\nplatform: \"" << platform_address_
                            << "\"\npeer_secret: \"0123456789abcdef0123456789abcdef\"\nlog_level: warning\n";
        node_process n{{fmt::format("node-{}", i),
                        folder_.string(),
                        {programs_ / "wagtailhatch-node", "--settings", file}},
                       {},
                       {}};
        n.admin = n.process.ready_field("admin");
        n.pid = std::to_string(n.process.pid());
        nodes_.push_back(std::move(n));
        return !nodes_.back().admin.empty();
    }

    static nlohmann::json status(const node_process& n)
    {
        asio::io_context io{1};
        const auto client = make_http_client(io, {});
        nlohmann::json page = nlohmann::json::object();
        bool done = false;
        (*client)->start({n.admin, {"GET", "/status", {}, {}}, 2s, true}, [&](const http_result& r) {
            const auto parsed =
                r.ok ? nlohmann::json::parse(r.response.body, nullptr, false) : nlohmann::json{};
            page = parsed.is_object() ? parsed : page;
            done = true;
        });
        while (!done) {
            io.run_one();
        }
        return page;
    }

    /// User and system time since the process started.
    static double cpu_us(const std::string& pid)
    {
        std::ifstream in{"/proc/" + pid + "/stat"};
        std::string text;
        std::getline(in, text);
        std::istringstream fields{text.substr(text.rfind(')') + 2)};
        std::string word;
        double user = 0;
        double system = 0;
        // Fields 14 and 15 of the file; field 3 is the first here.
        for (int i = 3; i < 14; ++i) {
            fields >> word;
        }
        fields >> user >> system;
        return (user + system) * 1e6 / static_cast<double>(sysconf(_SC_CLK_TCK));
    }

    std::filesystem::path folder_;
    std::filesystem::path programs_;
    std::string platform_address_;
    std::vector<child_process> platform_;
    std::vector<node_process> nodes_;
    std::uint64_t version_ = 0;
};

bench_totals run(std::ostream& out, const bench_options&)
{
    capacity_report report{out};
    std::vector<point> resident;
    std::vector<point> cpu;
    std::vector<point> bytes;
    std::vector<point> spread;
    std::vector<point> reads;
    process_fleet fleet;
    for (const std::size_t count : {4, 8, 16, 24}) {
        if (!fleet.grow(count)) {
            out << "processes: " << count << " nodes did not start and agree; no rows of processes\n";
            return report.totals();
        }
        std::this_thread::sleep_for(5s);
        const auto before = fleet.take();
        std::this_thread::sleep_for(measured);
        const auto after = fleet.take();
        const auto n = static_cast<double>(count);
        const double node_seconds = n * std::chrono::duration<double>(measured).count();
        resident.push_back({n, after.resident_mib / n});
        cpu.push_back({n, (after.cpu_us - before.cpu_us) / node_seconds});
        bytes.push_back({n, (after.control_bytes - before.control_bytes) / node_seconds});
        reads.push_back({n, (after.platform_reads - before.platform_reads) * n / node_seconds});
        double sum = 0;
        for (int i = 0; i < 3; ++i) {
            fleet.accept();
            sum += fleet.seconds_to_reach_all().value_or(20);
        }
        spread.push_back({std::log2(n), sum / 3});
    }
    report.fitted({"process.resident", "nodes", "MiB a node, idle, whole process"}, resident, known_nodes,
                  two_year::budget_mib);
    report.fitted({"process.processor", "nodes", "us/s a node, idle"}, cpu, known_nodes,
                  two_year::budget_cpu_us);
    // config.bytes-idle carries the growth; this row checks it on real processes.
    report.fitted({"process.config-bytes", "nodes", "B/s a node, configuration messages without envelopes"},
                  bytes, 24, two_year::budget_bytes);
    report.fitted({"process.spread-mean", "log2(nodes)", "s"}, spread, std::log2(two_year::nodes),
                  two_year::budget_spread_s);
    report.fitted({"process.platform-reads", "nodes in 2 data centres", "reads/s of configuration"}, reads,
                  24, two_year::budget_reads);
    return report.totals();
}

const registration process_rows{"5 processes", "capacity", run};

} // namespace
} // namespace wagtailhatch::bench
