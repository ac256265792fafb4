/** @file admission.cpp Additive growth on completed work, multiplicative shrinking. */
#include "agent/admission_base.h"

#include <algorithm>

namespace lavender {

namespace {

    constexpr Duration holdAfterFailure = 500ms;
    constexpr Duration shrinkPeriod = 200ms; ///< Failures of one moment count as one.

} // namespace

void AdmissionLimiter::setSlots(uint16_t count)
{
    this->slots = std::max<uint16_t>(count, 1);
    this->window = std::min(this->window, static_cast<double>(this->slots));
}

void AdmissionLimiter::onColdStart()
{
    this->window = 1;
}

void AdmissionLimiter::onCompleted(TimePoint now, uint16_t inFlight)
{
    // An idle upstream has not shown that it bears more: only a window in use grows.
    const bool isInUse = inFlight * 2 >= this->limit();
    if (now < this->holdUntil || !isInUse) {
        return;
    }
    this->window = std::min(this->window + 1 / this->window, static_cast<double>(this->slots));
}

void AdmissionLimiter::onFailure(TimePoint now)
{
    this->holdUntil = now + holdAfterFailure;
    if (this->lastShrink != TimePoint {} && now - this->lastShrink < shrinkPeriod) {
        return;
    }
    this->lastShrink = now;
    this->window = std::max(this->window / 2, 1.0);
}

} // namespace lavender
