/** @file admission.cpp Growth by the busy time of completed requests; multiplicative decrease on load shedding. */
#include "agent/admission_base.h"

#include <algorithm>

namespace lavender {

namespace {

    constexpr Duration growthPauseAfterShed = 500ms; ///< After a shed. A further shed in this time does not halve the limit again, but restarts the pause.
    constexpr double rampMargin = 1.2; ///< Clocks and scheduling make the busy time measured here longer than the upstream's own.

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
        this->busyCountedUntil = now; // Idle time before this request does not count as busy time.
    }
}

void AdmissionLimiter::onCompleted(TimePoint now, Duration latency)
{
    // The measured latency includes the round trip to the upstream, which grows when this instance is busy and does not warm
    // the upstream. The lowest latency seen bounds the busy time of one request.
    this->minimumLatency = std::min(this->minimumLatency, latency);
    const Duration busyTime = std::min<Duration>(now - this->busyCountedUntil, this->minimumLatency);
    this->busyCountedUntil = now;
    if (now < this->growthPausedUntil) {
        return;
    }
    const double rampSeconds = std::chrono::duration<double>(this->ramp).count() * rampMargin;
    const double gain = rampSeconds > 0 ? (this->slots - 1) * std::chrono::duration<double>(busyTime).count() / rampSeconds : this->slots;
    this->window = std::min(this->window + gain, static_cast<double>(this->slots));
}

void AdmissionLimiter::onShed(TimePoint now)
{
    if (now >= this->growthPausedUntil) {
        this->window = std::max(this->window / 2, 1.0);
    }
    this->growthPausedUntil = now + growthPauseAfterShed;
}

} // namespace lavender
