#include "include/http/http_server.h"
#include "tools/standin_common/parse_flags.h"
#include "tools/standin_common/ready_line.h"
#include "tools/standin_common/timers.h"
#include "tools/standin_platform/platform_store.h"

#include <absl/flags/flag.h>
#include <absl/flags/usage.h>
#include <asio/signal_set.hpp>

#include <csignal>
#include <iostream>

ABSL_FLAG(int, port, 0, "Port on loopback; 0: chosen by the system.");
ABSL_FLAG(double, writes_per_second, 300, "Writes that the platform sustains; more are refused with 503.");
ABSL_FLAG(double, reads_per_second, 2000, "Reads that the platform sustains; more are refused with 503.");
ABSL_FLAG(int, latency_ms, 0, "Time that each answer takes.");

namespace {

using namespace wagtailhatch;
using namespace wagtailhatch::standin;

/// Longer than any client waits.
constexpr std::chrono::seconds lost_answer_hold{60};

void serve(asio::io_context& io, platform_store& store, const std::shared_ptr<http_exchange>& exchange)
{
    auto answer = store.handle(exchange->request(), std::chrono::steady_clock::now());
    if (!answer) {
        // Holding the exchange keeps the client waiting until it gives up, as if the answer was lost.
        run_after(io, lost_answer_hold, [exchange] {});
        return;
    }
    const bool control = exchange->request().target == "/control";
    const auto wait = std::chrono::milliseconds{absl::GetFlag(FLAGS_latency_ms)} + store.faults().delay;
    if (control || wait.count() <= 0) {
        exchange->respond(std::move(*answer));
        return;
    }
    run_after(io, wait, [exchange, response = std::move(*answer)] { exchange->respond(response); });
}

int run()
{
    asio::io_context io{1};
    platform_store store{absl::GetFlag(FLAGS_writes_per_second), absl::GetFlag(FLAGS_reads_per_second)};
    http_server_options options;
    options.port = static_cast<std::uint16_t>(absl::GetFlag(FLAGS_port));
    options.max_connections = 4000;
    auto server = make_http_server(
        io, options, [&](const std::shared_ptr<http_exchange>& exchange) { serve(io, store, exchange); });
    if (!server) {
        std::cerr << server.failure().message() << '\n';
        return 1;
    }
    asio::signal_set signals{io, SIGTERM, SIGINT};
    signals.async_wait([&io](std::error_code, int) { io.stop(); });
    print_ready((*server)->port());
    io.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("In-memory table service and object store of the platform, for tests.");
    parse_flags(argc, argv);
    return run();
}
