/** @file opening_limit.cpp Queue limits by the latency goal for originals, and by the time left for a caller's last chance. */
#include "packet/admission/opening_limit.h"

#include <algorithm>

namespace lavender {

namespace {

    constexpr Duration handshakeAllowance = 20ms; ///< Of the caller's time: three trips between caller and upstream, and the balancer.
    constexpr size_t defaultLimitHalves = 5; ///< Requests per two slots if the latency goal or the processing time is unknown.
    constexpr size_t lastChancePerSlot = 3; ///< Requests per slot for a caller's last chance if the processing time is unknown.
    constexpr size_t maximumRequestsPerSlot = 4; ///< Whatever the latency goal: upstreams return opening packets beyond that.

    /** Time in which a request has to get a slot, so that it is answered within @p time. Half of all requests take longer than the mean; 4/3 of it covers most. */
    Duration queueTimeWithin(Duration time, Duration processing) { return time - handshakeAllowance - processing * 4 / 3; }

    /** Slots and the queue places that are worked off within @p queueTime. */
    size_t placesWithin(Duration queueTime, Duration processing, size_t slots)
    {
        const auto queued = static_cast<size_t>(queueTime * static_cast<int64_t>(slots) / std::max<Duration>(processing, 1ms));
        return std::min(slots + queued, slots * maximumRequestsPerSlot);
    }

} // namespace

size_t OpeningLimits::ofOriginal() const
{
    const size_t byDefault = this->slots * defaultLimitHalves / 2;
    if (!this->goal || !this->processing) {
        return byDefault;
    }
    const Duration queueTime = queueTimeWithin(*this->goal, *this->processing);
    if (queueTime < Duration::zero()) {
        // Perhaps no upstream is fast enough for the goal: then the default limit holds. One that was fast enough and has slowed
        // down gets one original opening at a time, which measures whether it has recovered. Other originals go to other agents;
        // retransmissions still take free slots here.
        return this->hasSlowedDown ? 1 : byDefault;
    }
    return placesWithin(queueTime, *this->processing, this->slots);
}

/**
 * A retransmission takes only a free slot, as its answer will be late in any case and the caller's next packet may find one. One
 * that no other packet follows in time gets a place as long as it can be answered before the caller gives up: it may then be behind
 * originals, and ahead of others that have copies left.
 */
size_t OpeningLimits::ofCopy(uint32_t copy) const
{
    if (copy == 0) {
        return this->ofOriginal();
    }
    return this->timing.isLastChance(copy, this->timeout) ? this->ofLastChance(copy) : this->slots;
}

size_t OpeningLimits::ofLastChance(uint32_t copy) const
{
    if (!this->processing) {
        return this->slots * lastChancePerSlot;
    }
    const Duration queueTime = queueTimeWithin(*this->timeout - this->timing.openingAge(copy), *this->processing);
    return queueTime < Duration::zero() ? this->slots : placesWithin(queueTime, *this->processing, this->slots);
}

} // namespace lavender
