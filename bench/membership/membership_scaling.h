#pragma once

#include <cstddef>

namespace wagtailhatch {

struct membership_load {
    double messages = 0; ///< Sent by a node in a second.
    double bytes = 0;    ///< Sent by a node in a second, envelopes included.
    double cpu_us = 0;   ///< Processor time of a node in a second, without sockets and proofs.
};

struct group_measurement {
    std::size_t agree_s = 0; ///< From the start until all tables agree.
    membership_load idle;
    membership_load restarts; ///< With a restart each 10 s.
    std::size_t death_s = 0;  ///< From a silent death until all tables agree; 60 if they did not.
};

/// One group in simulated time without faults.
group_measurement measure_group(std::size_t size);

/// A node that follows groups; its own traffic both ways.
membership_load measure_followed(std::size_t groups);

/// Bytes of a table that holds count members.
double measure_member_bytes(std::size_t count);

} // namespace wagtailhatch
