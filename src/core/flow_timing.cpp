/** @file flow_timing.cpp What follows from the schedule of callers for one copy of an opening packet. */
#include "core/flow_timing.h"

#include <algorithm>

namespace lavender {

namespace {

    constexpr Duration answerAllowance = 100ms; ///< Least time in which a caller's next packet can lead to an answer.
    constexpr Duration longestTrip = 50ms; ///< From a caller to a balancer; 16 times the usual way.

} // namespace

Duration FlowTiming::openingAge(uint32_t copy) const
{
    return this->openingCopies[std::min(copy, lastOpeningCopy)];
}

bool FlowTiming::mayNextCopyBeSent(uint32_t copy, Duration age) const
{
    return copy < lastOpeningCopy && age + longestTrip >= this->openingCopies[copy + 1] - this->openingCopies[copy];
}

bool FlowTiming::isLastChance(uint32_t copy, std::optional<Duration> timeout) const
{
    const Duration next = copy < lastOpeningCopy ? this->openingCopies[copy + 1] : this->openingTimeout;
    return timeout && next + answerAllowance > *timeout;
}

} // namespace lavender
