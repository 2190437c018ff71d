#pragma once

#include "include/core/clock.h"
#include "src/config/config_message.h"

#include <map>
#include <string>
#include <vector>

namespace wagtailhatch {

/// Decides whether this node reads the head. The two live nodes of the data centre with the highest
/// rendezvous hash are primary and read always; a node learns of them by gossip, because at the two-year size
/// no node knows all members of its data centre. Others read only while nobody is known to reach the
/// platform.
class reader_election {
public:
    reader_election(std::string data_centre, std::string self, const clock& time, duration memory);

    void merge(const std::vector<reader_report>& reports);

    /// This node read the head at that time.
    void reached(steady_time when);

    /// This node could not read the head. Others learn of it as fast as of a success.
    void failed() { own_reached_.reset(); }

    bool primary() const;

    /// A node of higher rank is known to have read the head within the memory time.
    bool outranked() const;

    /// The highest ranked live nodes and the latest successful reader, this node included.
    std::vector<reader_report> report() const;

private:
    struct candidate {
        std::uint64_t rank = 0;
        steady_time alive{};
        std::optional<steady_time> reached;
    };

    bool recent(steady_time t) const { return time_.now() - t <= memory_; }
    std::uint64_t rank_of(const std::string& id) const;
    void forget_old();

    std::string data_centre_;
    std::string self_;
    const clock& time_;
    duration memory_;
    std::uint64_t own_rank_ = 0;
    std::optional<steady_time> own_reached_;
    std::map<std::string, candidate> others_;
};

} // namespace wagtailhatch
