#include "bench/membership/membership_scaling.h"

#include "tests/membership/network.h"

#include <ctime>
#include <iomanip>
#include <malloc.h>
#include <ostream>

namespace wagtailhatch {
namespace {

using namespace wagtailhatch::test;

/// IP and UDP headers, incarnation, sequence, a sender address of 15 characters and the proof.
constexpr double envelope = 28 + 1 + 8 + 8 + 16 + 32;
constexpr std::size_t settle_periods = 90;
constexpr std::size_t measured_periods = 60;

struct load {
    double messages = 0; ///< Sent by a node in a second.
    double bytes = 0;    ///< Sent by a node in a second, envelopes included.
    double cpu_us = 0;   ///< Processor time of a node in a second, without sockets and proofs.
};

/// Runs and gives the load over nodes.
template <typename Run>
load measure(network& net, std::size_t nodes, Run run)
{
    net.messages = net.bytes = 0;
    const auto start = std::clock();
    run();
    const double cpu = static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC * 1e6;
    const double node_seconds = static_cast<double>(nodes * measured_periods);
    return {static_cast<double>(net.messages) / node_seconds,
            (static_cast<double>(net.bytes) + static_cast<double>(net.messages) * envelope) / node_seconds,
            cpu / node_seconds};
}

void print(std::ostream& out, const load& l)
{
    out << std::setw(12) << l.messages << std::setw(12) << l.bytes << std::setw(12) << l.cpu_us;
}

void bench_group(std::ostream& out, std::size_t size)
{
    network net{1};
    simulated_group group{net, size};
    const auto agreed = group.periods_to_agree(settle_periods);
    group.run(settle_periods);
    out << std::setw(8) << size << std::setw(10) << agreed;
    print(out, measure(net, size, [&] { group.run(measured_periods); }));
    // One restart in 10 s is 56 times the expected rate for a group of 13.
    const auto churn = measure(net, size, [&] {
        for (std::size_t i = 0; i < measured_periods / 10; ++i) {
            group.kill(i);
            group.start(i);
            group.run(10);
        }
    });
    print(out, churn);
    group.kill(size - 1);
    std::size_t detected = 0;
    for (; detected < 60 && !group.agreed(); ++detected) {
        group.run(1);
    }
    out << std::setw(12) << detected << '\n';
}

/// One node that follows groups; only its own traffic, both ways. Each group is one member, because the
/// messages between tables that agree do not depend on the group's size.
void bench_followed(std::ostream& out, std::size_t groups)
{
    network net{1};
    network_sender from_follower{net, "10.9.9.9:4000"};
    std::vector<std::unique_ptr<swim_group>> members;
    std::vector<std::unique_ptr<group_follower>> followers;
    std::vector<std::unique_ptr<network_sender>> senders;
    std::map<std::string, group_follower*> by_service;
    for (std::size_t g = 0; g < groups; ++g) {
        const std::string service = "service-" + std::to_string(g);
        auto self = make_member(g);
        self.service = service;
        senders.push_back(std::make_unique<network_sender>(net, self.address));
        members.push_back(
            std::make_unique<swim_group>(self, swim_options{}, net.time, net.random, *senders.back()));
        net.attach(self.address, [m = members.back().get()](const auto& from, const auto& message) {
            m->handle(from, message);
        });
        followers.push_back(std::make_unique<group_follower>(service, net.time, net.random, from_follower));
        by_service[service] = followers.back().get();
    }
    net.attach("10.9.9.9:4000",
               [&](const auto& from, const auto& m) { by_service.at(m.service)->handle(from, m); });
    const auto run = [&] {
        for (std::size_t i = 0; i < measured_periods * steps_per_period; ++i) {
            net.advance();
            for (std::size_t g = 0; g < groups; ++g) {
                followers[g]->tick({address_of(g)});
            }
        }
    };
    run();
    out << std::setw(8) << groups;
    print(out, measure(net, 1, run));
    out << '\n';
}

void bench_memory(std::ostream& out)
{
    constexpr std::size_t count = 4000;
    const auto before = mallinfo2().uordblks;
    member_table table;
    for (std::size_t i = 0; i < count; ++i) {
        auto m = make_member(i);
        m.id = "instance-number-" + std::to_string(i);
        m.data_centre = "region-3-dc-2";
        table.merge(m, {});
    }
    out << "memory for each known member: " << (mallinfo2().uordblks - before) / count
        << " bytes in the table; a published view holds another " << sizeof(member) << " and its text\n";
}

} // namespace

void bench_membership_scaling(std::ostream& out)
{
    out << std::fixed << std::setprecision(1);
    out << "one group, for each node: sent messages/s, sent bytes/s, processor us/s; idle, then with a "
           "restart each "
           "10 s\n"
        << "    size  agree s      msg/s         B/s        us/s   msg/s (r)     B/s (r)    us/s (r)  death "
           "seen s\n";
    for (const std::size_t size : {13, 50, 200, 500}) {
        bench_group(out, size);
    }
    out << "a node that follows groups, its traffic both ways: messages/s, bytes/s, processor us/s\n";
    for (const std::size_t groups : {1, 5, 10, 22}) {
        bench_followed(out, groups);
    }
    bench_memory(out);
}

} // namespace wagtailhatch
