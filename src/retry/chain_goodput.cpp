#include "include/retry/chain_goodput.h"

#include <algorithm>
#include <cmath>

namespace wagtailhatch {
namespace {

constexpr int admitted_steps = 20;

} // namespace

double chain_goodput(double rejected_share, std::uint32_t calls, double retries_per_chain)
{
    const double success = 1 - rejected_share;
    const double retries_per_call = rejected_share / success;
    // Chains that get retries for their last `aided` calls, from none to all of them.
    double goodput = std::pow(success, calls);
    double retries = 0;
    for (std::uint32_t aided = 1; aided <= calls; ++aided) {
        const double next_goodput = std::pow(success, calls - aided);
        const double next_retries = next_goodput * aided * retries_per_call;
        if (next_retries > retries_per_chain) {
            const double part = (retries_per_chain - retries) / (next_retries - retries);
            return goodput + (next_goodput - goodput) * part;
        }
        goodput = next_goodput;
        retries = next_retries;
    }
    return 1;
}

double admitted_for_goodput(double rejected_share, std::uint32_t calls, double retries_per_chain, double part)
{
    const double wanted = part * chain_goodput(rejected_share, calls, retries_per_chain);
    for (int step = 1; step < admitted_steps; ++step) {
        const double admitted = static_cast<double>(step) / admitted_steps;
        if (admitted * chain_goodput(rejected_share, calls, retries_per_chain / admitted) >= wanted) {
            return admitted;
        }
    }
    return 1;
}

} // namespace wagtailhatch
