#include "include/http/http_client.h"
#include "tools/standin_caller/load_generator.h"
#include "tools/standin_common/parse_flags.h"
#include "tools/standin_common/split.h"

#include <absl/flags/flag.h>
#include <absl/flags/usage.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>

ABSL_FLAG(std::string, nodes, "", "Addresses of the nodes' caller listeners, comma-separated.");
ABSL_FLAG(int, requests, 100, "Number of requests.");
ABSL_FLAG(double, rate, 100, "Requests started per second.");
ABSL_FLAG(std::string, paths, "1:GET:host/",
          "Weighted paths as weight:METHOD:HOST/path, comma-separated; a POST is "
          "retried only if it was certainly not executed.");
ABSL_FLAG(std::string, keys_file, "",
          "File with one `workspace key` pair on each line; if empty, no keys are sent.");
ABSL_FLAG(int, timeout_ms, 1000, "Timeout of each attempt.");
ABSL_FLAG(int, retries, 0,
          "Maximum number of retries after a rejection, an unknown outcome or a missing response.");
ABSL_FLAG(int, retry_delay_ms, 20, "Delay before a retry.");
ABSL_FLAG(std::uint64_t, seed, 1, "Seed of the random choices of path, key and node.");
ABSL_FLAG(int, body_bytes, 64, "Minimum size of request bodies in bytes.");
ABSL_FLAG(std::string, body_marker, "", "Text included in each request body.");
ABSL_FLAG(std::string, id_prefix, "", "Prefix of the request ids; if empty, derived from the seed.");

namespace {

using namespace wagtailhatch;
using namespace wagtailhatch::standin;

bool read_keys(const std::string& file, std::vector<workspace_key>& keys)
{
    if (file.empty()) {
        return true;
    }
    std::ifstream in{file};
    workspace_key entry;
    while (in >> entry.workspace >> entry.key) {
        keys.push_back(entry);
    }
    return !keys.empty();
}

bool read_paths(const std::string& list, std::vector<weighted_path>& paths)
{
    for (const auto& entry : split(list, ',')) {
        const auto first = entry.find(':');
        const auto second = first == std::string::npos ? first : entry.find(':', first + 1);
        if (second == std::string::npos) {
            return false;
        }
        weighted_path path;
        path.weight = std::strtod(entry.substr(0, first).c_str(), nullptr);
        path.method = entry.substr(first + 1, second - first - 1);
        path.idempotent = path.method != "POST";
        const auto address = entry.substr(second + 1);
        const auto slash = address.find('/');
        if (slash == std::string::npos) {
            return false;
        }
        path.host = address.substr(0, slash);
        path.path = address.substr(slash);
        paths.push_back(std::move(path));
    }
    return !paths.empty();
}

/// Fills `out` from the flags. Returns the name of the missing or invalid flag, or an empty string.
std::string settings_from_flags(load_settings& out)
{
    out.nodes = split(absl::GetFlag(FLAGS_nodes), ',');
    out.requests = static_cast<std::size_t>(std::max(0, absl::GetFlag(FLAGS_requests)));
    out.rate = absl::GetFlag(FLAGS_rate);
    out.timeout = std::chrono::milliseconds{absl::GetFlag(FLAGS_timeout_ms)};
    out.retries = static_cast<std::size_t>(std::max(0, absl::GetFlag(FLAGS_retries)));
    out.retry_delay = std::chrono::milliseconds{absl::GetFlag(FLAGS_retry_delay_ms)};
    out.seed = absl::GetFlag(FLAGS_seed);
    out.body_bytes = static_cast<std::size_t>(std::max(0, absl::GetFlag(FLAGS_body_bytes)));
    out.body_marker = absl::GetFlag(FLAGS_body_marker);
    out.id_prefix = absl::GetFlag(FLAGS_id_prefix);
    if (out.id_prefix.empty()) {
        out.id_prefix = "s" + std::to_string(out.seed);
    }
    if (out.nodes.empty()) {
        return "nodes";
    }
    if (out.requests == 0 || out.rate <= 0) {
        return "requests, rate";
    }
    if (!read_paths(absl::GetFlag(FLAGS_paths), out.paths)) {
        return "paths";
    }
    return read_keys(absl::GetFlag(FLAGS_keys_file), out.keys) ? "" : "keys-file";
}

int run()
{
    load_settings settings;
    const auto invalid_flag = settings_from_flags(settings);
    if (!invalid_flag.empty()) {
        std::cerr << "missing or invalid flag: --" << invalid_flag << '\n';
        return 2;
    }
    asio::io_context io{1};
    auto client = make_http_client(io, {});
    if (!client) {
        std::cerr << client.failure().message() << '\n';
        return 1;
    }
    load_generator generator{io, **client, std::move(settings)};
    generator.start([&io] { io.stop(); });
    io.run();
    std::cout << generator.result().json().dump() << std::endl;
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("Open-loop load generator for tests that verifies each response.");
    parse_flags(argc, argv);
    return run();
}
