#include "include/config/node_settings.h"
#include "include/core/clock.h"
#include "include/observe/logging.h"
#include "platform/boot_settings.h"
#include "platform/wire_header_codec.h"
#include "src/node/node_supervisor.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <pthread.h>
#include <string>

ABSL_FLAG(std::string, settings, "",
          "YAML file with the node's settings; if empty, the platform's settings file is read");
ABSL_FLAG(std::uint16_t, metrics_port, 0,
          "port of the metrics listener when the platform's settings file is used; 0 disables it");
ABSL_FLAG(std::string, log_level, "", "minimum level of log lines: debug, info, warning or error");

namespace {

using namespace wagtailhatch;

constexpr int exit_settings = 2;
constexpr int exit_start = 3;
// Polling interval of the settings file, which may change without a SIGHUP.
constexpr timespec settings_poll_interval{1, 0};

/// The settings file: the one given by --settings, otherwise the platform's.
class settings_source {
public:
    settings_source()
        : file_{absl::GetFlag(FLAGS_settings)}
    {
        if (file_.empty()) {
            const char* path = std::getenv(platform::settings_variable);
            file_ = path == nullptr ? "" : path;
            uses_platform_settings_ = true;
        }
    }

    bool has_file() const { return !file_.empty(); }

    parsed<node_settings> load() const
    {
        return uses_platform_settings_
                   ? platform::load_boot_settings(file_, absl::GetFlag(FLAGS_metrics_port))
                   : load_node_settings(file_);
    }

private:
    std::string file_;
    bool uses_platform_settings_ = false;
};

// Must be called before any thread is started: threads inherit the signal mask, so only the main thread
// receives the signals.
sigset_t block_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

/// Applies changed settings. Invalid settings are logged and ignored.
void reload(const settings_source& source, node_settings& current, node_supervisor& node)
{
    auto settings = source.load();
    if (!settings) {
        log(log_level::error, "changed settings not used", {{"findings", to_string(settings.findings)}});
        return;
    }
    if (*settings.value == current) {
        return;
    }
    current = *settings.value;
    log(log_level::info, "settings changed", {{"seeds", current.seeds.size()}});
    node.reload(current);
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("Runs the wagtailhatch node as the sidecar of one target.\n"
                                 "usage: wagtailhatch-node [--settings FILE]");
    absl::ParseCommandLine(argc, argv);
    const settings_source source;
    if (!source.has_file()) {
        std::cerr << "wagtailhatch-node: no settings file: neither --settings nor the platform names one\n";
        return exit_settings;
    }
    auto settings = source.load();
    if (!settings) {
        std::cerr << to_string(settings.findings);
        return exit_settings;
    }
    auto current = *settings.value;
    if (const auto level = parse_log_level(absl::GetFlag(FLAGS_log_level))) {
        current.level = *level;
    }
    setup_logging(current.level);
    const auto signals = block_signals();
    const system_clock_source time;
    const platform::wire_header_codec codec;
    node_supervisor node{time, current, codec};
    if (const auto started = node.start(); !started) {
        log(log_level::error, "not started", {{"error", started.failure().message()}});
        return exit_start;
    }
    log(log_level::info, "started",
        {{"instance", current.instance},
         {"service", current.service},
         {"data_centre", current.data_centre},
         {"callers", current.callers},
         {"seeds", current.seeds.size()}});
    for (;;) {
        const int signal = sigtimedwait(&signals, nullptr, &settings_poll_interval);
        if (signal == SIGTERM || signal == SIGINT) {
            break;
        }
        reload(source, current, node);
    }
    log(log_level::info, "stopping");
    node.stop();
    log(log_level::info, "stopped");
    return 0;
}
