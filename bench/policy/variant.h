#pragma once

#include "include/admission/admission_controller.h"
#include "include/routing/balancer.h"

#include <string>
#include <vector>

namespace wagtailhatch::bench {

/// One way to run the same deployment: a baseline, the product, or the product without one mechanism.
struct variant {
    std::string name;
    bool admission = true;  ///< Off: nothing between sender and target.
    bool know_slots = true; ///< Off: the limit is found by measurement alone.
    bool importance_classes = true;
    bool entry_shedding = true;
    bool propagate_deadline = true; ///< And cancellation.
    std::uint32_t retry_tokens = 1; ///< Used if hop_retries is 0.
    std::uint32_t hop_retries = 0;  ///< At each hop, on every failure.
    bool throttle = true;
    bool quota = true;
    bool quarantine = true;
    admission_options admit;
    balancer_options route;
};

variant no_control();
variant fixed_limit();
variant product();

/// The product with each mechanism switched off in turn.
std::vector<variant> ablations();

} // namespace wagtailhatch::bench
