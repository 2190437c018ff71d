#pragma once

#include "include/admission/admission_controller.h"
#include "include/routing/balancer.h"

#include <string>
#include <vector>

namespace wagtailhatch::bench {

/// One configuration of overload control: a baseline, the product, or the product without one mechanism.
struct variant {
    std::string name;
    bool admission = true;             ///< Off: no admission control between sender and target.
    bool limit_at_connections = false; ///< Limit at the connections that the target accepts, not its slots.
    bool use_configured_slots = true;  ///< Off: the concurrency limit is derived from measurements alone.
    bool importance_classes = true;
    bool entry_shedding = true;
    bool propagate_deadline = true; ///< Also propagates cancellation.
    std::uint32_t retry_tokens = 1; ///< Initial retry tokens of a request; used if hop_retries is 0.
    std::uint32_t hop_retries = 0;  ///< Retries at each hop, after any failure.
    bool throttle = true;
    bool quota = true;
    bool quarantine = true;
    admission_options admit;
    balancer_options route;
};

/// No overload control: targets refuse only calls in excess of their connections, and only callers retry.
variant no_control();

/// A fixed concurrency limit equal to each target's service slots: the best value of a fixed limit.
variant fixed_limit();

/// A fixed concurrency limit equal to the connections that each target accepts.
variant fixed_connections();
variant product();

/// Ablations: the product with each mechanism switched off in turn.
std::vector<variant> ablations();

} // namespace wagtailhatch::bench
