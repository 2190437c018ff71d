#include "bench/registry.h"
#include "include/peer/peer_messages.h"

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

node_status sample_status()
{
    node_status s;
    s.self = {"10.120.30.40:8543", "i-0123456789", "service-123", "data-centre-12", 1, member_state::ready};
    return s;
}

/// Milliseconds to decode one received status.
double receive_cost_ms()
{
    const auto bytes = encode(sample_status());
    constexpr int rounds = 2000;
    const auto begin = std::chrono::steady_clock::now();
    std::size_t usable = 0;
    for (int round = 0; round < rounds; ++round) {
        usable += decode_status(bytes) ? 1 : 0;
    }
    const std::chrono::duration<double, std::milli> spent = std::chrono::steady_clock::now() - begin;
    return spent.count() / static_cast<double>(usable);
}

bench_totals run_fleet_rows(std::ostream& out, const bench_options&)
{
    bench_totals totals;
    out << "status messages of one node, sent and received, against 11 KB and 10 ms of processor time a "
           "second\n";
    out << "peers bytes/message bytes/s ms/s\n";
    const auto size = static_cast<double>(encode(sample_status()).size());
    for (const std::size_t peers : {15U, 69U, 299U, 999U}) {
        const double interval = std::max(min_interval_ms, interval_ms_per_peer * static_cast<double>(peers));
        const double messages = static_cast<double>(peers) * 1000 / interval;
        const double bytes = 2 * messages * size;
        const double ms = messages * receive_cost_ms();
        const bool met = bytes <= max_bytes_per_second && ms <= max_processor_ms_per_second;
        out << fmt::format("{} {:.0f} {:.0f} {:.2f} {}\n", peers, size, bytes, ms, met ? "within" : "over");
        ++totals.rows;
        totals.met += met ? 1 : 0;
    }
    return totals;
}

const registration fleet_rows{"fleet rows", "capacity", run_fleet_rows};

} // namespace
} // namespace wagtailhatch::bench
