/** @file admission.cpp Growth with busy time that ended in completed work; multiplicative shrinking. */
#include "agent/admission_base.h"

#include <algorithm>

namespace lavender {

namespace {

    constexpr Duration holdAfterShed = 500ms; ///< Sheds of one moment count as one, and growth waits.
    constexpr double rampMargin = 1.2; ///< Clocks and scheduling make busy time look longer here than at the upstream.

} // namespace

void AdmissionLimiter::configure(uint16_t maximumSlots, Duration rampTime)
{
    this->slots = std::max<uint16_t>(maximumSlots, 1);
    this->ramp = rampTime;
    this->window = std::min(this->window, static_cast<double>(this->slots));
}

void AdmissionLimiter::onColdStart()
{
    this->window = 1;
}

void AdmissionLimiter::onStarted(TimePoint now, uint16_t inFlight)
{
    if (inFlight == 1) {
        this->creditedUntil = now; // Idle time before this warms nothing.
    }
}

void AdmissionLimiter::onCompleted(TimePoint now, Duration latency)
{
    // Seen from here an answer takes the way there and back too; that warms nothing, and it grows when this machine is busy.
    this->leastLatency = std::min(this->leastLatency, latency);
    const Duration busy = std::min<Duration>(now - this->creditedUntil, this->leastLatency);
    this->creditedUntil = now;
    if (now < this->holdUntil) {
        return;
    }
    const double whole = std::chrono::duration<double>(this->ramp).count() * rampMargin;
    const double gain = whole > 0 ? (this->slots - 1) * std::chrono::duration<double>(busy).count() / whole : this->slots;
    this->window = std::min(this->window + gain, static_cast<double>(this->slots));
}

void AdmissionLimiter::onShed(TimePoint now)
{
    if (now >= this->holdUntil) {
        this->window = std::max(this->window / 2, 1.0);
    }
    this->holdUntil = now + holdAfterShed;
}

} // namespace lavender
