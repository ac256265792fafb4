/** @file admission_base.h How much work an upstream is given at once. */
#pragma once

#include "core/time_type.h"

#include <cstdint>

namespace lavender {

/**
 * Limit of requests in flight towards one upstream. Starts at one, grows on completed work only, halves when the upstream
 * fails, and never passes the slots.
 */
class AdmissionLimiter {
public:
    explicit AdmissionLimiter(uint16_t slots)
        : slots(slots)
    {
    }

    /** Takes the slots of the rule in force; the limit shrinks with them. */
    void setSlots(uint16_t count);

    /** The upstream starts anew: back to one. */
    void onColdStart();

    /** A request was answered. @p inFlight counts it. */
    void onCompleted(TimePoint now, uint16_t inFlight);

    /** The upstream broke or refused an exchange. */
    void onFailure(TimePoint now);

    /** Requests that may be in flight at once, 1..slots. */
    uint16_t limit() const { return static_cast<uint16_t>(this->window); }
    uint16_t maximum() const { return this->slots; }
    bool isWarm() const { return this->limit() >= this->slots; }

private:
    uint16_t slots;
    double window = 1;
    TimePoint holdUntil {}; ///< No growth before this.
    TimePoint lastShrink {};
};

} // namespace lavender
