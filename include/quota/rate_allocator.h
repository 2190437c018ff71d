#pragma once

#include "include/config/configuration.h"
#include "include/core/clock.h"
#include "include/core/string_map.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace wagtailhatch {

/// Asks the allocator of a workspace for tokens; each admits one request.
struct rate_request {
    std::string workspace;
    std::uint32_t tokens = 0;
    std::uint32_t sequence = 0; ///< Set by the holder and repeated in the grant.

    bool operator==(const rate_request&) const = default;
};

struct rate_grant {
    std::string workspace;
    std::uint32_t tokens = 0;   ///< At most the number requested.
    std::uint32_t sequence = 0; ///< Of the request.
    duration retry_after{};     ///< Time until more can be expected; set if fewer than requested are granted.

    bool operator==(const rate_grant&) const = default;
};

struct rate_allocator_options {
    double overage = 0.1; ///< Fraction by which all nodes together may exceed a rate.
    /// Fraction of a burst that is granted; the rest covers changes of the allocator and partitions.
    double burst_fraction = 0.6;
    double spare_tokens = 10; ///< Granted beyond rate and burst.
};

/// Token buckets of the workspaces whose rate this node allocates to all nodes. A token leaves the bucket
/// when it is granted, so that the grants of one allocator never exceed rate and burst, whatever happens to
/// the holders. A node that becomes the allocator of a workspace starts with an almost empty bucket, because
/// it does not know what its predecessor granted. Not thread-safe.
class rate_allocator {
public:
    explicit rate_allocator(rate_allocator_options options);

    /// Buckets of new workspaces start almost empty and fill from `now` on.
    void set_configuration(const configuration& config, steady_time now);

    /// Sets which workspaces this node allocates, and the fraction of the fleet that it can reach: each side
    /// of a partition allocates only its part of every rate.
    void set_ownership(const std::function<bool(std::string_view workspace)>& owns, double reachable_fraction,
                       steady_time now);

    /// Whether the workspace is limited at all.
    bool limited(std::string_view workspace) const;

    /// Takes tokens from the bucket. Returns nothing if this node does not allocate the workspace.
    std::optional<rate_grant> allocate(const rate_request& request, steady_time now);

private:
    struct bucket {
        double rate = 0;
        double depth = 0;
        double level = 0;
        double denied = 0; ///< Recently requested tokens that were not granted; decays.
        bool owned = false;
        steady_time last_refill{};
    };

    void refill(bucket& b, steady_time now) const;
    static duration retry_after(const bucket& b, double per_second);

    rate_allocator_options options_;
    string_map<bucket> buckets_;
    double reachable_fraction_ = 1;
};

} // namespace wagtailhatch
