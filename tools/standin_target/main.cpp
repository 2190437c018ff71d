#include "include/http/http_client.h"
#include "include/http/http_server.h"
#include "tools/standin_common/parse_flags.h"
#include "tools/standin_common/ready_line.h"
#include "tools/standin_common/split.h"
#include "tools/standin_common/timers.h"
#include "tools/standin_target/target.h"

#include <absl/flags/flag.h>
#include <absl/flags/usage.h>
#include <asio/signal_set.hpp>

#include <algorithm>
#include <csignal>
#include <iostream>

ABSL_FLAG(std::string, service, "service", "Name of the service.");
ABSL_FLAG(std::string, zone, "zone", "Zone (data centre) of the machine.");
ABSL_FLAG(std::string, instance, "i-1", "Id of this instance; a restarted process has a new one.");
ABSL_FLAG(std::string, node_callers, "",
          "Address that downstream calls are sent to; if empty, none are made.");
ABSL_FLAG(std::string, node_control, "",
          "Control address of the node that the target registers with; if empty, it does not register.");
ABSL_FLAG(std::string, address, "127.0.0.1", "IP address to listen on.");
ABSL_FLAG(int, port, 0, "Port to listen on; 0 lets the system choose.");
ABSL_FLAG(int, slots, 10, "Maximum number of concurrent requests; further ones are rejected.");
ABSL_FLAG(int, service_time_us, 1000, "Mean of the exponentially distributed service time.");
ABSL_FLAG(std::string, calls, "", "Downstream calls made for each request as HOST/path, comma-separated.");
ABSL_FLAG(std::string, crash_marker, "", "Text in a request that makes the process exit at once.");
ABSL_FLAG(std::string, forbidden, "",
          "Text that no request may contain; occurrences are reported by /ledger.");
ABSL_FLAG(int, answer_bytes, 100, "Filler bytes in each response.");
ABSL_FLAG(std::uint64_t, seed, 1, "Seed of the random service times.");

namespace {

using namespace wagtailhatch;
using namespace wagtailhatch::standin;

target_settings settings_from_flags()
{
    target_settings out;
    out.service = absl::GetFlag(FLAGS_service);
    out.zone = absl::GetFlag(FLAGS_zone);
    out.instance = absl::GetFlag(FLAGS_instance);
    out.node_callers = absl::GetFlag(FLAGS_node_callers);
    out.node_control = absl::GetFlag(FLAGS_node_control);
    out.slots = static_cast<std::size_t>(absl::GetFlag(FLAGS_slots));
    out.service_time = std::chrono::microseconds{absl::GetFlag(FLAGS_service_time_us)};
    for (const auto& call : split(absl::GetFlag(FLAGS_calls), ',')) {
        const auto slash = std::min(call.find('/'), call.size());
        out.calls.push_back({call.substr(0, slash), call.substr(slash)});
    }
    out.crash_marker = absl::GetFlag(FLAGS_crash_marker);
    out.forbidden = absl::GetFlag(FLAGS_forbidden);
    out.answer_bytes = static_cast<std::size_t>(absl::GetFlag(FLAGS_answer_bytes));
    out.seed = absl::GetFlag(FLAGS_seed);
    return out;
}

/// Time allowed for writing the last responses before the event loop is stopped.
constexpr std::chrono::milliseconds final_write_time{200};

int run()
{
    asio::io_context io{1};
    auto client = make_http_client(io, {});
    if (!client) {
        std::cerr << client.failure().message() << '\n';
        return 1;
    }
    target t{io, **client, settings_from_flags()};
    http_server_options options;
    options.address = absl::GetFlag(FLAGS_address);
    options.port = static_cast<std::uint16_t>(absl::GetFlag(FLAGS_port));
    auto server = make_http_server(
        io, options, [&t](const std::shared_ptr<http_exchange>& exchange) { t.handle(exchange); });
    if (!server) {
        std::cerr << server.failure().message() << '\n';
        return 1;
    }
    asio::signal_set signals{io, SIGTERM, SIGINT};
    signals.async_wait([&](std::error_code, int) {
        t.drain([&] {
            (*server)->drain();
            run_after(io, final_write_time, [&io] { io.stop(); });
        });
    });
    t.start_announcing(options.address + ":" + std::to_string((*server)->port()));
    print_ready((*server)->port());
    io.run();
    return t.idle() ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("Stand-in target of one service, for tests.");
    parse_flags(argc, argv);
    return run();
}
