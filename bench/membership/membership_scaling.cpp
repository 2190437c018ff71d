#include "bench/membership/membership_scaling.h"

#include "tests/membership/network.h"

#include <ctime>
#include <malloc.h>

namespace wagtailhatch {
namespace {

using namespace wagtailhatch::test;

/// IP and UDP headers, incarnation, sequence, a sender address of 15 characters and the proof.
constexpr double envelope = 28 + 1 + 8 + 8 + 16 + 32;
constexpr std::size_t settle_periods = 90;
constexpr std::size_t measured_periods = 60;

/// Runs and gives the load over nodes.
template <typename Run>
membership_load measure(network& net, std::size_t nodes, Run run)
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

} // namespace

group_measurement measure_group(std::size_t size)
{
    network net{1};
    simulated_group group{net, size};
    group_measurement m;
    m.agree_s = group.periods_to_agree(settle_periods);
    group.run(settle_periods);
    m.idle = measure(net, size, [&] { group.run(measured_periods); });
    // One restart in 10 s is 56 times the expected rate for a group of 13.
    m.restarts = measure(net, size, [&] {
        for (std::size_t i = 0; i < measured_periods / 10; ++i) {
            group.kill(i % size);
            group.start(i % size);
            group.run(10);
        }
    });
    group.kill(size - 1);
    for (; m.death_s < 60 && !group.agreed(); ++m.death_s) {
        group.run(1);
    }
    return m;
}

// Each group is one member, because the messages between tables that agree do not depend on the group's size.
membership_load measure_followed(std::size_t groups)
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
    return measure(net, 1, run);
}

double measure_member_bytes(std::size_t count)
{
    const auto before = mallinfo2().uordblks;
    member_table table;
    for (std::size_t i = 0; i < count; ++i) {
        auto m = make_member(i);
        m.id = "instance-number-" + std::to_string(i);
        m.data_centre = "region-3-dc-2";
        table.merge(m, {});
    }
    return static_cast<double>(mallinfo2().uordblks - before);
}

} // namespace wagtailhatch
