#include "include/config/node_settings.h"
#include "include/core/clock.h"
#include "include/observe/logging.h"
#include "src/node/node_supervisor.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <csignal>
#include <iostream>
#include <pthread.h>
#include <string>

ABSL_FLAG(std::string, settings, "", "file with the node's settings (YAML)");

namespace {

constexpr int exit_settings = 2;
constexpr int exit_start = 3;

// Blocked before any thread starts, so that only sigwait() in main() receives them.
sigset_t block_stop_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("Runs the wagtailhatch node beside one target.\n"
                                 "usage: wagtailhatch-node --settings FILE");
    absl::ParseCommandLine(argc, argv);
    const auto file = absl::GetFlag(FLAGS_settings);
    if (file.empty()) {
        std::cerr << "wagtailhatch-node: --settings is required\n";
        return exit_settings;
    }
    auto settings = wagtailhatch::load_node_settings(file);
    if (!settings) {
        std::cerr << wagtailhatch::to_string(settings.findings);
        return exit_settings;
    }
    wagtailhatch::setup_logging(settings.value->level);
    const auto signals = block_stop_signals();
    const wagtailhatch::system_clock_source time;
    wagtailhatch::node_supervisor node{time, *settings.value};
    const auto ports = node.start();
    if (!ports) {
        std::cerr << "wagtailhatch-node: " << file << ": " << ports.failure().message() << '\n';
        return exit_start;
    }
    std::cout << "ready instance=" << settings.value->instance << " callers=" << settings.value->callers.ip
              << ':' << ports->callers << " local=" << settings.value->local.ip << ':' << ports->local
              << " admin=" << settings.value->admin.ip << ':' << ports->admin << " peers=" << ports->peers
              << std::endl;
    int signal = 0;
    sigwait(&signals, &signal);
    node.stop();
    return 0;
}
