#include "include/membership/store_readers.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>
#include <string>

using namespace wagtailhatch;

namespace {

/// Model of the nodes of one data centre, which decide in turn from the state that the others report.
class data_centre_model {
public:
    explicit data_centre_model(std::size_t nodes)
    {
        for (std::size_t i = 0; i < nodes; ++i) {
            reads_["10.0.0." + std::to_string(i) + ":7000"] = true;
        }
    }

    void settle()
    {
        for (int round = 0; round < 3; ++round) {
            for (auto& [address, reads] : reads_) {
                std::vector<peer_address> reading;
                for (const auto& [other, other_reads] : reads_) {
                    if (other != address && other_reads && lost_.count(other) == 0) {
                        reading.push_back(other);
                    }
                }
                reads = should_read_store(address, reading);
            }
        }
    }

    std::size_t active_readers() const
    {
        std::size_t n = 0;
        for (const auto& [address, reads] : reads_) {
            n += reads && lost_.count(address) == 0 ? 1 : 0;
        }
        return n;
    }

    /// A reader loses the store without noticing.
    void lose_first_reader()
    {
        for (const auto& [address, reads] : reads_) {
            if (reads && lost_.insert({address, true}).second) {
                return;
            }
        }
    }

private:
    std::map<peer_address, bool> reads_;
    std::map<peer_address, bool> lost_;
};

} // namespace

// Guards against store calls that grow with the number of nodes, and against data centres without a reader.
TEST_CASE("a data centre converges on a few readers of the store")
{
    rc::prop("any size", [] {
        const auto nodes = *rc::gen::inRange<std::size_t>(1, 80);
        data_centre_model model{nodes};
        model.settle();
        RC_ASSERT(model.active_readers() == std::min(nodes, store_readers_per_data_centre));
    });
}

// Guards against changes that no node learns of because the store rejects exactly the readers.
TEST_CASE("readers that lose the store are replaced")
{
    rc::prop("any number of losses", [] {
        const auto nodes = *rc::gen::inRange<std::size_t>(1, 40);
        const auto lost = *rc::gen::inRange<std::size_t>(0, nodes);
        data_centre_model model{nodes};
        model.settle();
        for (std::size_t i = 0; i < lost; ++i) {
            model.lose_first_reader();
            model.settle();
        }
        RC_ASSERT(model.active_readers() == std::min(nodes - lost, store_readers_per_data_centre));
    });
}
