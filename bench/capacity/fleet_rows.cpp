#include "bench/registry.h"
#include "include/peer/peer_messages.h"
#include "include/quota/rate_share.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <ostream>

namespace wagtailhatch::bench {
namespace {

using namespace std::chrono_literals;

// Budgets of one node at the fleet size expected in two years.
constexpr double max_bytes_per_second = 11'000;
constexpr double max_processor_ms_per_second = 10;
// Publish interval of the peer mesh: 12 ms per peer, at least 400 ms.
constexpr double min_interval_ms = 400;
constexpr double interval_ms_per_peer = 12;

node_status sample_status(std::size_t workspaces)
{
    node_status s;
    s.self = {"10.120.30.40:8543", "i-0123456789", "service-123", "data-centre-12", 1, member_state::ready};
    for (std::size_t i = 0; i < workspaces; ++i) {
        s.usage.workspaces.push_back({"workspace" + std::to_string(i), 12.5, 100'000});
    }
    return s;
}

/// Milliseconds to process one received status: decoding it and recording its usage.
double receive_cost_ms(std::size_t peers, std::size_t workspaces)
{
    configuration config;
    for (std::size_t i = 0; i < workspaces; ++i) {
        const auto name = "workspace" + std::to_string(i);
        config.workspaces[name] = {name, 100, 100, {}, {}};
    }
    rate_share share{{}};
    steady_time now{1h};
    share.set_configuration(config, now);
    const auto bytes = encode(sample_status(workspaces));
    constexpr int rounds = 2;
    const auto begin = std::chrono::steady_clock::now();
    for (int round = 0; round < rounds; ++round) {
        for (std::size_t p = 0; p < peers; ++p) {
            now += 1ms;
            const auto status = decode_status(bytes);
            share.on_peer_usage("10.0.0." + std::to_string(p) + ":1", 1, status->usage, now);
        }
    }
    const std::chrono::duration<double, std::milli> spent = std::chrono::steady_clock::now() - begin;
    return spent.count() / static_cast<double>(rounds * peers);
}

bench_totals run_fleet_rows(std::ostream& out, const bench_options&)
{
    bench_totals totals;
    out << "status messages of one node, sent and received, against 11 KB and 10 ms of processor time a "
           "second\n";
    out << "peers workspaces bytes/message bytes/s ms/s\n";
    for (const std::size_t peers : {15U, 69U, 299U, 999U}) {
        for (const std::size_t workspaces : {8U, 79U}) {
            const auto size = static_cast<double>(encode(sample_status(workspaces)).size());
            const double interval =
                std::max(min_interval_ms, interval_ms_per_peer * static_cast<double>(peers));
            const double messages = static_cast<double>(peers) * 1000 / interval;
            const double bytes = 2 * messages * size;
            const double ms = messages * receive_cost_ms(peers, workspaces);
            const bool met = bytes <= max_bytes_per_second && ms <= max_processor_ms_per_second;
            out << fmt::format("{} {} {:.0f} {:.0f} {:.2f} {}\n", peers, workspaces, size, bytes, ms,
                               met ? "within" : "over");
            ++totals.rows;
            totals.met += met ? 1 : 0;
        }
    }
    return totals;
}

const registration fleet_rows{"fleet rows", "capacity", run_fleet_rows};

} // namespace
} // namespace wagtailhatch::bench
