#pragma once

#include "include/config/configuration.h"

#include <cstddef>
#include <string>
#include <vector>

namespace wagtailhatch {

/// Smooth weighted round robin: distributes the requests of one route over its services in proportion to
/// their weights, without random deviation. Not thread-safe.
class weighted_split {
public:
    explicit weighted_split(const std::vector<weighted_service>& services);

    /// Returns the service for the next request. Requires at least one service.
    const std::string& next();

private:
    struct part {
        std::string service;
        double weight = 0;
        double credit = 0;
    };
    std::vector<part> parts_;
    double total_ = 0;
};

} // namespace wagtailhatch
