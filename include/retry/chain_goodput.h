#pragma once

#include <cstdint>

namespace wagtailhatch {

/// Returns the fraction of chains of `calls` calls that succeed if a share of all arrivals is rejected and
/// the retries, this many per chain on average, go to the chains with the fewest calls left.
double chain_goodput(double rejected_share, std::uint32_t calls, double retries_per_chain);

/// Returns the smallest fraction of the chains that can be admitted so that the goodput is still this part of
/// what it would be if all were admitted, for the same number of retries. retries_per_chain: over all chains.
double admitted_for_goodput(double rejected_share, std::uint32_t calls, double retries_per_chain,
                            double part);

} // namespace wagtailhatch
