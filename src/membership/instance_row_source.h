#pragma once

#include "include/core/clock.h"
#include "include/core/random_source.h"
#include "include/peer/peer_transport.h"
#include "include/platform/table_service.h"
#include "src/membership/retry_delay.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace wagtailhatch {

/// Reads the rows of each needed service once, for the addresses of nodes to ask; tries again while the table
/// is away. The rows say where instances were, not whether they are still there.
class instance_row_source {
public:
    instance_row_source(table_service& table, const clock& time, random_source& random);

    void need(const std::string& service);
    void forget(const std::string& service) { services_.erase(service); }

    /// Runs what is due.
    void tick();

    /// Addresses of instances that have not left; empty until the rows were read.
    const std::vector<peer_address>& addresses(const std::string& service) const;

private:
    struct needed {
        retry_delay delay;
        std::vector<peer_address> addresses;
        bool in_flight = false;
        bool done = false;
    };

    void received(const std::string& service, const result<std::vector<table_row>>& rows);

    table_service& table_;
    const clock& time_;
    random_source& random_;
    std::map<std::string, needed> services_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0); ///< Completions outlive this object.
};

} // namespace wagtailhatch
