#include "include/http/http_server.h"
#include "tools/standin_common/parse_flags.h"
#include "tools/standin_common/ready_line.h"
#include "tools/standin_common/timers.h"
#include "tools/standin_platform/platform_store.h"

#include <absl/flags/flag.h>
#include <absl/flags/usage.h>
#include <asio/signal_set.hpp>

#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>

ABSL_FLAG(int, port, 0, "Port on loopback; 0 lets the system choose.");
ABSL_FLAG(std::string, config, "", "File with the operators' initial configuration.");
ABSL_FLAG(double, writes_per_second, 400, "Rate limit of write calls; further ones are rejected with 429.");
ABSL_FLAG(double, reads_per_second, 2000, "Rate limit of read calls; further ones are rejected with 429.");

namespace {

using namespace wagtailhatch;
using namespace wagtailhatch::standin;

constexpr std::chrono::milliseconds tick_interval{20};

void serve(asio::io_context& io, platform_store& store, const std::shared_ptr<http_exchange>& exchange)
{
    const bool control = exchange->request().target == "/control";
    store.handle(exchange->request(), std::chrono::steady_clock::now(),
                 [&io, &store, exchange, control](http_response response) {
                     const auto wait = store.faults().delay;
                     if (control || wait.count() <= 0) {
                         exchange->respond(std::move(response));
                         return;
                     }
                     run_after(io, wait, [exchange, response] { exchange->respond(response); });
                 });
}

void tick(asio::io_context& io, platform_store& store)
{
    store.tick(std::chrono::steady_clock::now());
    run_after(io, tick_interval, [&io, &store] { tick(io, store); });
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
    if (const auto file = absl::GetFlag(FLAGS_config); !file.empty()) {
        std::ifstream in{file};
        store.set_config({std::istreambuf_iterator<char>{in}, {}});
    }
    tick(io, store);
    print_ready((*server)->port());
    io.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("In-memory stand-in of the platform's store, for tests.");
    parse_flags(argc, argv);
    return run();
}
