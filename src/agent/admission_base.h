/** @file admission_base.h Limits the requests in flight to one upstream. */
#pragma once

#include "core/time_type.h"

#include <cstdint>

namespace lavender {

/**
 * Slow-start limit of the requests in flight to one upstream. Starts at 1, grows with the time that the upstream spent on
 * requests it completed, halves when the upstream sheds load, and never exceeds the slots.
 */
class AdmissionLimiter {
public:
    /**
     * Applies the service's current rule; a limit above the new slots is lowered to them.
     * @param maximumSlots Highest limit; 0 counts as 1.
     * @param rampTime Busy time in which the limit grows from 1 to @p maximumSlots.
     */
    void configure(uint16_t maximumSlots, Duration rampTime);

    /** A request was handed to the upstream. @p inFlight includes it. */
    void onStarted(TimePoint now, uint16_t inFlight);

    /** The upstream has or may have restarted: the limit goes back to 1. */
    void onColdStart();

    /** A request was answered, @p latency after it was handed to the upstream. */
    void onCompleted(TimePoint now, Duration latency);

    /** The upstream refused a request because it is overloaded. */
    void onShed(TimePoint now);

    /** Requests that may be in flight at once, 1..maximum(). */
    uint16_t limit() const { return static_cast<uint16_t>(this->window); }
    /** Slots of the upstream: the highest value of limit(). */
    uint16_t maximum() const { return this->slots; }
    /** True once the limit has reached the slots. */
    bool isWarm() const { return this->limit() >= this->slots; }

private:
    uint16_t slots = 1;
    Duration ramp {}; ///< Busy time in which the limit grows from 1 to all slots.
    double window = 1; ///< The limit before rounding down; one answer adds a fraction.
    TimePoint busyCountedUntil {}; ///< Busy time up to here is already counted.
    Duration minimumLatency = Duration::max(); ///< Lowest latency of any answer; bounds the busy time counted for one answer.
    TimePoint growthPausedUntil {}; ///< The limit does not grow before this.
};

} // namespace lavender
