/** @file admission_base.h How much work an upstream is given at once. */
#pragma once

#include "core/time_type.h"

#include <cstdint>

namespace lavender {

/**
 * Limit of requests in flight towards one upstream. Starts at one, grows with the time that the upstream has spent on work
 * it completed, halves when it sheds, and never passes the slots.
 */
class AdmissionLimiter {
public:
    /** Takes the slots and the ramp of the rule in force; the limit shrinks with the slots. */
    void configure(uint16_t maximumSlots, Duration rampTime);

    /** A request was handed over. @p inFlight counts it. */
    void onStarted(TimePoint now, uint16_t inFlight);

    /** The upstream starts anew: back to one. */
    void onColdStart();

    /** A request was answered, @p latency after it was handed over. */
    void onCompleted(TimePoint now, Duration latency);

    /** The upstream refused work as overload. */
    void onShed(TimePoint now);

    /** Requests that may be in flight at once, 1..slots. */
    uint16_t limit() const { return static_cast<uint16_t>(this->window); }
    uint16_t maximum() const { return this->slots; }
    bool isWarm() const { return this->limit() >= this->slots; }

private:
    uint16_t slots = 1;
    Duration ramp {}; ///< Busy time from cold to all slots.
    double window = 1;
    TimePoint creditedUntil {}; ///< Busy time before this has been counted.
    Duration leastLatency = Duration::max(); ///< Of any answer: the upstream worked no longer than this for one request.
    TimePoint holdUntil {}; ///< No growth before this.
};

} // namespace lavender
